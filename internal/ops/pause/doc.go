// Package pause waits for a time that the end of a context cuts short.
package pause
