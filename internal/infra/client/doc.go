// Package client makes JSON calls to the platform's HTTP servers with bounds on the answers, and tells whether a failed
// call may have reached the server.
package client
