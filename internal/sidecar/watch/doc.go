// Package watch tells any number of watchers that something changed.
package watch
