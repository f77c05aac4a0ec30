// Package inflight remembers the attempts that reached a side, so that none runs twice and a canceled one never runs.
package inflight
