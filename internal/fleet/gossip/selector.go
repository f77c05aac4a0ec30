package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// remoteEvery is the number of rounds of which one goes to a peer of another zone.
	remoteEvery = 2
	// zoneNeighbours is how many peers of its own zone an entry exchanges with.
	zoneNeighbours = 6
	// remoteNeighboursPerZone is how many peers of each other zone it exchanges with.
	remoteNeighboursPerZone = 2
	// maxRemoteNeighbours limits the peers of other zones in all.
	maxRemoteNeighbours = 8
	// sidecarNeighbours is how many entries of its own zone, and of other zones, a sidecar has as neighbours.
	sidecarNeighbours = 2
)

// peerSelector selects the peers to exchange with; only the loop of a node uses it.
type peerSelector struct {
	self   string
	role   Role
	zone   string
	rng    *rand.Rand
	rounds int
}

// neighbours returns the few peers that a process keeps connections to, selected by rendezvous hashing, those of its
// own zone first.
func (s *peerSelector) neighbours(peers []Peer) []Peer {
	ranked := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == s.self })
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(s.self, b.Name), weight(s.self, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	inZone, perZone, remote := zoneNeighbours, remoteNeighboursPerZone, maxRemoteNeighbours
	if s.role == Sidecar {
		inZone, perZone, remote = sidecarNeighbours, 1, sidecarNeighbours
	}
	taken := map[string]int{}
	var zonePeers, remotePeers []Peer
	for _, p := range ranked {
		switch {
		case p.Zone == s.zone && len(zonePeers) < inZone:
			zonePeers = append(zonePeers, p)
		case p.Zone != s.zone && taken[p.Zone] < perZone && len(remotePeers) < remote:
			taken[p.Zone]++
			remotePeers = append(remotePeers, p)
		}
	}
	return append(zonePeers, remotePeers...)
}

// pick returns a random neighbour, alternating between the own zone and others, or any neighbour if there is none of
// the kind.
func (s *peerSelector) pick(neighbours []Peer) (Peer, bool) {
	s.rounds++
	wantRemote := s.rounds%remoteEvery == 0
	var candidates []Peer
	for _, p := range neighbours {
		if (p.Zone != s.zone) == wantRemote {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = neighbours
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[s.rng.IntN(len(candidates))], true
}

// sample returns up to n different neighbours at random.
func (s *peerSelector) sample(neighbours []Peer, n int) []Peer {
	var out []Peer
	for _, i := range s.rng.Perm(len(neighbours))[:min(n, len(neighbours))] {
		out = append(out, neighbours[i])
	}
	return out
}

// sampleZones returns up to n random peers, taken from the zones in turn, starting with the own one.
func (s *peerSelector) sampleZones(peers []Peer, n int) []Peer {
	byZone := map[string][]Peer{}
	var zoneOrder []string
	for _, i := range s.rng.Perm(len(peers)) {
		p := peers[i]
		if p.Name == s.self {
			continue
		}
		if byZone[p.Zone] == nil {
			zoneOrder = append(zoneOrder, p.Zone)
		}
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	if i := slices.Index(zoneOrder, s.zone); i > 0 {
		zoneOrder[0], zoneOrder[i] = zoneOrder[i], zoneOrder[0]
	}
	var out []Peer
	for len(out) < n {
		before := len(out)
		for _, z := range zoneOrder {
			if len(byZone[z]) > 0 && len(out) < n {
				out = append(out, byZone[z][0])
				byZone[z] = byZone[z][1:]
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
