// Package share limits the rate of a team over all entries, with each entry's part granted ahead by gossip about demand.
package share
