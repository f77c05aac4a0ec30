// Package weighthttp is the HTTP client of the platform's weight store.
package weighthttp
