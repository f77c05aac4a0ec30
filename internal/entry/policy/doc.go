// Package policy estimates stage times and decides about admission, retries and hedges.
package policy
