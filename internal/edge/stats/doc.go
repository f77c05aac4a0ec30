// Package stats defines the metrics of an entry on the operators' platform.
package stats
