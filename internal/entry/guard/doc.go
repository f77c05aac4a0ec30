// Package guard decides whether a checked request may start, and counts those in
// flight so that a graceful shutdown can wait for them.
package guard
