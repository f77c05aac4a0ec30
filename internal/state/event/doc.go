// Package event tells many goroutines that something has changed.
package event
