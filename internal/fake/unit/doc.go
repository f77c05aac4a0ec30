// Package unit is what all stand-ins for upstreams share: a life, faults, slots and a book.
package unit
