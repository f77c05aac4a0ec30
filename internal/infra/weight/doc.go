// Package weight defines the interface to the platform's weight store.
package weight
