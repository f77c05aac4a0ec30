// Package sched schedules the stages of many requests onto the upstreams of stage pools.
//
// Every call to an upstream has a fixed cost in addition to the cost of its pieces, so pieces of many requests are
// batched into shared calls. Results occupy the memory of the upstream that produced them until they are released. The
// package does no I/O: its owner reports events to it and carries out the actions that it returns.
package sched
