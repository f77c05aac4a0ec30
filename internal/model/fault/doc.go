// Package fault defines the typed error that is passed through every layer, from an
// upstream's transport to the caller's JSON.
package fault
