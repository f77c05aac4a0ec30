// Package target defines the interface between the executor, which runs a request, and the router, which picks the
// upstream of each attempt.
package target
