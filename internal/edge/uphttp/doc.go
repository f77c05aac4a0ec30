// Package uphttp sends HTTP requests to upstreams, each at most once, over connections that it manages itself.
//
// http.Transport retries some requests on its own and takes any bytes on a connection as the answer to the request
// before them. Here a request is written once, and an answer counts only if its head is valid HTTP and echoes the request's
// ID, or is the first one on its connection. A body that ends with its connection is complete only if the connection has not been reset.
package uphttp
