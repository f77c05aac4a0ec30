// Package runner is the control side of a model engine: its state, orders and cache events.
package runner
