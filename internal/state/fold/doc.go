// Package fold applies the records of the configuration stream, in order, to an immutable state; every reader that
// applies the same records gets the same state.
package fold
