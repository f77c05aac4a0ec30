// Package echo makes the answers of stand-ins a function of their input, so that a caller can check them.
package echo
