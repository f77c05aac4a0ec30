// Package day is the demo: a deployment in one process, a scripted day of faults, and a count from outside.
package day
