// Package script runs the demo: it starts a deployment in one process, sends traffic while it injects faults one by
// one, and compares the callers' answers with what the fake upstreams recorded.
package script
