// Package agent runs the planner at an entry while it holds the lease.
package agent
