// Package inflight remembers the attempts that a side has received, so that no attempt runs twice and none runs after
// its cancel.
package inflight
