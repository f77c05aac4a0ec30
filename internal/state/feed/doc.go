// Package feed keeps the configuration state of one process current, from the log and from its peers.
package feed
