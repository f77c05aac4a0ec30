// Package basis decides which version of a pool is its base version: streams that began at it need no record.
package basis
