// Package runner defines the control API of a model engine: its state, orders and cache events.
package runner
