// Package poison keeps the fingerprints of requests that crash upstreams, as a set that merges in any order.
package poison
