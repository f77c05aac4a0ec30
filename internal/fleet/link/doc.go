// Package link keeps the connections from an entry to the sides of its subset, and feeds the membership table from them.
package link
