// Package fold turns the records of the configuration stream into one immutable state, the same way in every reader.
package fold
