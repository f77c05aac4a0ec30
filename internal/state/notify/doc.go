// Package notify wakes all goroutines that wait for a change.
package notify
