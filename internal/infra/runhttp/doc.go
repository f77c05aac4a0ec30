// Package runhttp is the HTTP client of a model engine's control side.
package runhttp
