// Package upstreamhttp is the HTTP client of an upstream. It reads generations as server-sent events and other answers
// as JSON.
package upstreamhttp
