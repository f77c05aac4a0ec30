// Package wakeup ends the pauses of all goroutines that wait to retry something as soon as one of them has succeeded.
package wakeup
