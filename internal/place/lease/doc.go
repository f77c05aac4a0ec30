// Package lease replays the plan stream, which tells who holds the planner's lease, the placement plan and which
// sidecar owns each engine.
package lease
