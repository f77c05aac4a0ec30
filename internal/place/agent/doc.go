// Package agent runs the planner in an entry while that entry holds the planner's lease.
package agent
