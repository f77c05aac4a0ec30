// Package uphttp sends HTTP requests to upstreams, each at most once, over connections that it manages itself.
//
// http.Transport retries some requests on its own and takes any bytes on a connection as the answer to the request
// before them. Here a request is written once, and an answer counts only if it echoes the request's ID.
package uphttp
