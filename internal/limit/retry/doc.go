// Package retry decides whether a failed call is retried, within a budget for each pool and a limit for each request
// that holds over all hops.
package retry
