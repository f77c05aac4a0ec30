// Package retry decides whether a failed call is sent again, under a budget that holds over all hops of a request.
package retry
