// Package inmem connects an entry to a sidecar in memory and injects network faults.
package inmem
