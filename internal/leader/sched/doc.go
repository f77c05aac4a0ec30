// Package sched schedules the stages of many requests onto the upstreams of stage pools.
//
// It answers a load in which every call to an upstream costs a fixed time whatever it holds, so that pieces of many
// requests have to share calls, and in which results occupy the memory of their maker until they are released. It does
// no I/O: its owner tells it what happened, and carries out what it returns.
package sched
