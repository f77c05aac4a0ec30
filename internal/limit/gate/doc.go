// Package gate admits calls to one upstream. Callers block until their call may start or is refused.
package gate
