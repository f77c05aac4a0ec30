// Package pick chooses an upstream for a call from a published set, at a cost that does not grow with the set.
package pick
