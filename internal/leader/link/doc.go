// Package link connects an entry to the leader, and to the next one when that leader is lost.
//
// Correctness does not depend on there being one leader: two leaders at a time, or none, only cost time.
package link
