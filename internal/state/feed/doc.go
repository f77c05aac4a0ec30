// Package feed keeps the configuration state of one process up to date, from the log and from its peers.
package feed
