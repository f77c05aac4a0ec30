// Package wakeup ends the backoff of all goroutines that wait to retry as soon as one of them succeeds.
package wakeup
