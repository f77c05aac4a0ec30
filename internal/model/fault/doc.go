// Package fault is the typed error that crosses every layer, from an
// upstream's transport to the caller's JSON.
package fault
