// Package link connects an entry to the leader of its cell, and to the next one when that leader is gone.
//
// The leader is only a place where decisions meet: two leaders at a time, or none, cost time and no promise.
package link
