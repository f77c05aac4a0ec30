// Package lease folds the plan stream: who holds the planner's lease, the placement plan, and which side may give orders.
package lease
