// Package router picks the upstream of each attempt from snapshots that the
// control goroutine publishes, and logs each decision.
package router
