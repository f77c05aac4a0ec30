// Package snap encodes a whole state as one compressed body and restores it.
package snap
