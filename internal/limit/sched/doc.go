// Package sched decides which calls an upstream starts, queues or refuses. It never blocks and reads no clock.
package sched
