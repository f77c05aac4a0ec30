// Package order lets a sidecar bring its engine to the target of the placement plan, one order at a time.
package order
