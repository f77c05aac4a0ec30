package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// farEvery is how many rounds have one with a peer of another zone.
	farEvery = 2
	// nearNeighbours is how many peers of its own zone an entry talks to.
	nearNeighbours = 6
	// farNeighbours is how many peers of each other zone it talks to.
	farNeighbours = 2
	// maxFarNeighbours bounds the peers of other zones.
	maxFarNeighbours = 8
	// sideNeighbours is how many entries of its own zone, and of others, a side asks in turn.
	sideNeighbours = 2
)

// chooser picks whom to ask; it belongs to the loop of a node.
type chooser struct {
	self string
	role Role
	zone string
	rng  *rand.Rand
	turn int
}

// neighbours returns the few peers that a process keeps connections to, by rendezvous hash: the own zone's first.
func (c *chooser) neighbours(peers []Peer) []Peer {
	ranked := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == c.self })
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(c.self, b.Name), weight(c.self, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	near, perZone, far := nearNeighbours, farNeighbours, maxFarNeighbours
	if c.role == Sidecar {
		near, perZone, far = sideNeighbours, 1, sideNeighbours
	}
	taken := map[string]int{}
	var own, others []Peer
	for _, p := range ranked {
		switch {
		case p.Zone == c.zone && len(own) < near:
			own = append(own, p)
		case p.Zone != c.zone && taken[p.Zone] < perZone && len(others) < far:
			taken[p.Zone]++
			others = append(others, p)
		}
	}
	return append(own, others...)
}

// next picks a random neighbour, by turns of the own zone and of another; any other when that has none.
func (c *chooser) next(neighbours []Peer) (Peer, bool) {
	c.turn++
	wantFar := c.turn%farEvery == 0
	var wanted []Peer
	for _, p := range neighbours {
		if (p.Zone != c.zone) == wantFar {
			wanted = append(wanted, p)
		}
	}
	if len(wanted) == 0 {
		wanted = neighbours
	}
	if len(wanted) == 0 {
		return Peer{}, false
	}
	return wanted[c.rng.IntN(len(wanted))], true
}

// few picks up to n different neighbours at random.
func (c *chooser) few(neighbours []Peer, n int) []Peer {
	var out []Peer
	for _, i := range c.rng.Perm(len(neighbours))[:min(n, len(neighbours))] {
		out = append(out, neighbours[i])
	}
	return out
}

// spread picks up to n peers at random, by turns over the zones, the own zone first.
func (c *chooser) spread(peers []Peer, n int) []Peer {
	zones := map[string][]Peer{}
	var order []string
	for _, i := range c.rng.Perm(len(peers)) {
		p := peers[i]
		if p.Name == c.self {
			continue
		}
		if zones[p.Zone] == nil {
			order = append(order, p.Zone)
		}
		zones[p.Zone] = append(zones[p.Zone], p)
	}
	if i := slices.Index(order, c.zone); i > 0 {
		order[0], order[i] = order[i], order[0]
	}
	var out []Peer
	for len(out) < n {
		before := len(out)
		for _, z := range order {
			if len(zones[z]) > 0 && len(out) < n {
				out = append(out, zones[z][0])
				zones[z] = zones[z][1:]
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
