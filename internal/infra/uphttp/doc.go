// Package uphttp is the HTTP client of an upstream: whole answers as JSON, generations as server-sent events.
package uphttp
