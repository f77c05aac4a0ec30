// Package listen serves go-zero routes on one address, without the library's circuit breaker, load shedding, timeouts
// and signal handling.
package listen
