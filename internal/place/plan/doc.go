// Package plan computes which model each runner should load, from the active preset and from demand.
package plan
