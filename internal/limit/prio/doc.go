// Package prio is a binary heap whose elements can be removed from the middle.
package prio
