// Package gossip spreads the configuration, the marks of crashing requests and the teams' demands between processes, each
// of which talks to one random peer at a time.
package gossip
