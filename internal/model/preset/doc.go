// Package preset declares how the system runs on a kind of day.
package preset
