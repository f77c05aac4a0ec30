package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// readersPerZone is how many entries of each zone poll the log.
const readersPerZone = 3

// IsReader reports whether the named entry is one of the log readers of its zone, chosen by rendezvous hashing of the
// zone's members.
func IsReader(name, zone string, members []Peer) bool {
	names := []string{name}
	for _, m := range members {
		if m.Zone == zone && m.Name != name {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(zone, b), weight(zone, a)), cmp.Compare(a, b))
	})
	return slices.Index(names, name) < readersPerZone
}

// weight returns the rendezvous hash of a name.
func weight(zone, name string) uint64 {
	return xxhash.Sum64String(zone + "\x00" + name)
}
