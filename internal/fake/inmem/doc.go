// Package inmem links an entry to a side in memory, with the faults of a network.
package inmem
