// Package router picks the upstream of each attempt from pool snapshots that the control goroutine publishes, and logs
// each choice.
package router
