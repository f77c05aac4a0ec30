// Package script is the demo: a deployment in one process, a scripted day of faults, and a count from outside.
package script
