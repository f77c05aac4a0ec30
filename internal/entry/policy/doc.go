// Package policy decides about estimates, retries and hedges for the executor.
package policy
