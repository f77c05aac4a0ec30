// Package adapt is an adaptive concurrency limit that holds a latency target.
package adapt
