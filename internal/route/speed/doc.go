// Package speed estimates how long calls to an upstream take now, from what the upstream says of its load and from the
// duration of earlier calls.
//
// It answers the load condition that work of others slows some upstreams of a pool for fractions of a second, and some
// for good. What upstreams say is stale after some hundred milliseconds, so that it fades to the usual value.
package speed
