// Package gossip spreads the configuration, the marks of crashing requests and the demands of teams between processes,
// each of which exchanges messages with one random peer at a time.
package gossip
