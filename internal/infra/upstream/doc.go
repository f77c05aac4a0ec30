// Package upstream defines the interface between a side and its upstream.
package upstream
