// Package soak runs entries as processes of their own, breaks what is around them in an order drawn from a seed, and checks
// the promises from what callers and upstreams see.
package soak
