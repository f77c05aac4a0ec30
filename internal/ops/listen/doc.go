// Package listen serves go-zero routes on an address of its own, without the
// library's breaker, shedder, timeout and signal handling.
package listen
