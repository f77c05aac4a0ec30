// Package link keeps connections from an entry to the sidecars of its subset and updates the membership table from
// them.
package link
