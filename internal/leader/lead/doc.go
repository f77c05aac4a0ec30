// Package lead runs the one place that sees the stage work and the engine load of all entries.
//
// One goroutine owns the decisions (packages sched and place); others carry the calls to stage upstreams.
package lead
