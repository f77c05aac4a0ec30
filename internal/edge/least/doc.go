// Package least picks an upstream of a plain service by its expected delay, as one entry sees it.
//
// It answers short calls at low use of the pool, where slow and failing upstreams matter more than exact queues.
package least
