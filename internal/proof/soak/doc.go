// Package soak runs entries as separate processes, injects faults drawn from a seed around them, and checks the
// guarantees from what callers and upstreams see.
package soak
