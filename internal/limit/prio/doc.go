// Package prio implements a binary heap whose elements can be removed at any index.
package prio
