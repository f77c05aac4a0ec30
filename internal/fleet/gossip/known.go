package gossip

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
)

// KnownPeers returns the entries of a view that are not gone, and the addresses in the settings that the view lacks.
func KnownPeers(v member.View, settings []string) []Peer {
	var out []Peer
	for _, e := range v.Entries {
		if e.State != member.Gone {
			out = append(out, Peer{Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region})
		}
	}
	for _, address := range settings {
		if !slices.ContainsFunc(out, func(p Peer) bool { return p.Address == address }) {
			out = append(out, Peer{Name: address, Address: address})
		}
	}
	return out
}
