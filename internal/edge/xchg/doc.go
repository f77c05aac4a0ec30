// Package xchg sends requests to upstreams, each exactly once, on connections of its own.
//
// The standard transport repeats some requests by itself and takes any bytes on a connection as the answer to the
// request before them. Here a request is written once, and an answer counts only if it echoes the request's ID.
package xchg
