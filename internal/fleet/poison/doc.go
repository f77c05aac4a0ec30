// Package poison keeps the fingerprints of requests that crash upstreams in a set that replicas can merge in any order.
package poison
