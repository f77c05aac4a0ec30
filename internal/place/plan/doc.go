// Package plan computes which model each runner should hold, from the preset in force and from demand.
package plan
