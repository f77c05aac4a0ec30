// Package adapt implements a concurrency limit that adapts to a latency target.
package adapt
