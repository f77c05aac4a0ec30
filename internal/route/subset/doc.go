// Package subset chooses the few upstreams of a pool that one entry keeps connections to.
package subset
