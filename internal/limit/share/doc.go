// Package share limits the request rate of a team over all entries. Each entry admits a share of the limit that follows
// its share of the demand, whose mean the entries estimate by gossip.
package share
