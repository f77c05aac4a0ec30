// Package runnerhttp is the HTTP client of a model engine's control API.
package runnerhttp
