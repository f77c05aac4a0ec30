// Package snap encodes a state as a compressed snapshot and restores it.
package snap
