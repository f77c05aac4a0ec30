// Package cursor reads a keyed topic of the platform's store from a snapshot on.
package cursor
