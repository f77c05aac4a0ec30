// Package balance picks the upstream of a plain service with the lowest expected delay, as measured by one entry.
//
// It is meant for short calls to lightly loaded pools, where slow and failing upstreams matter more than exact queue
// lengths.
package balance
