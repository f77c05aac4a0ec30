// Package watch notifies any number of watchers of a change.
package watch
