// Package wthttp is the HTTP client of the platform's weight store.
package wthttp
