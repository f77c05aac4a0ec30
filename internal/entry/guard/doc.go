// Package guard decides whether a valid request may start, and counts the requests in flight so that a graceful
// shutdown can wait for them.
package guard
