// Package subset selects the upstreams of a pool that one entry keeps connections to.
package subset
