// Package origin remembers at which software version each stream began, in memory and in the store.
package origin
