// Package procs proves the promises with real processes on loopback: they are killed,
// frozen, stopped and replaced under load while the platform's stand-ins watch.
package procs
