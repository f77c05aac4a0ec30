// Package stats counts what an entry on the operators' platform does.
package stats
