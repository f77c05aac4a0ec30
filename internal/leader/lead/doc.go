// Package lead schedules the stage work and the engine load of all entries.
//
// One goroutine makes all decisions, with packages sched and place; others make the calls to stage upstreams.
package lead
