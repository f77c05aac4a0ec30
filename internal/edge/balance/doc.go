// Package balance picks the upstream of a plain service with the lowest expected delay, from what one entry has measured.
//
// It is meant for short calls at low use of the pool, where slow and failing upstreams matter more than exact queues.
package balance
