// Package wtcl is the HTTP client of the platform's weight store.
package wtcl
