// Package member combines the host list, the statuses that sidecars send and the state of connections into one table of
// upstreams.
package member
