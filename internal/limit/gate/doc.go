// Package gate admits calls to one upstream: callers block until their call may start or is refused.
package gate
