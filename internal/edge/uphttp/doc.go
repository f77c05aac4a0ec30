// Package uphttp sends HTTP requests to upstreams, each exactly once, over connections that it manages itself.
//
// The standard transport repeats some requests by itself and takes any bytes on a connection as the answer to the
// request before them. Here a request is written once, and an answer counts only if it echoes the request's ID.
package uphttp
