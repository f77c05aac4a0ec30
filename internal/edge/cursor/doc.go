// Package cursor reads a keyed topic of the platform's store: a snapshot first, then the records that follow it.
package cursor
