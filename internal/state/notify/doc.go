// Package notify tells many goroutines that something has changed.
package notify
