// Package sched decides which calls an upstream starts, keeps waiting or refuses; it blocks nobody and reads no clock.
package sched
