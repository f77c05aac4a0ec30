// Package order lets a sidecar bring its engine to the target of the placement plan, one order at a time. An order
// tells the engine what to load.
package order
