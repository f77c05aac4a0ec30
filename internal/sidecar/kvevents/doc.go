// Package kvevents buffers the latest cache events of an engine for the watchers of its side.
package kvevents
