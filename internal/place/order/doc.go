// Package order lets a side bring its own engine to the target of the placement plan, one order at a time.
package order
