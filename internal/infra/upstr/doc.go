// Package upstr defines the interface between a side and its upstream.
package upstr
