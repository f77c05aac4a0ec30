package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultNear = 16
	defaultFar  = 4
)

// Member is an upstream that may be selected.
type Member struct {
	Name   string
	Zone   string
	Region string
}

// Spec is the entry for which a subset is selected and the size of the subset.
type Spec struct {
	Entry  string
	Zone   string // of the entry
	Region string // of the entry
	// Near is the number of upstreams in the entry's zone, 16 by default.
	Near int
	// Far is the number outside the zone, for spill, 4 by default. It grows by what the zone lacks of Near.
	Far int
}

// ranked is a member with its sort key.
type ranked struct {
	index int
	tier  int    // see Spec.tier
	hash  uint64 // of the entry and the member
}

// Select returns the indexes of the selected members, own zone first, then own region, each in rendezvous hash order.
// Adding or removing a member changes at most one other choice in each tier.
func (s Spec) Select(members []Member) []int {
	near, far := cmp.Or(s.Near, defaultNear), cmp.Or(s.Far, defaultFar)
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{index: i, tier: s.tier(m), hash: xxhash.Sum64String(s.Entry + "\x00" + m.Name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(a.tier, b.tier); c != 0 {
			return c
		}
		return cmp.Compare(a.hash, b.hash)
	})
	own := 0
	for own < len(all) && all[own].tier == 0 {
		own++
	}
	chosen := all[:min(own, near)]
	rest := all[own:]
	far += near - len(chosen)
	out := make([]int, 0, near+far)
	for _, r := range chosen {
		out = append(out, r.index)
	}
	for _, r := range rest[:min(len(rest), far)] {
		out = append(out, r.index)
	}
	return out
}

// tier returns 0 for the own zone, 1 for the own region and 2 for any other.
func (s Spec) tier(m Member) int {
	switch {
	case m.Zone == s.Zone:
		return 0
	case m.Region == s.Region:
		return 1
	}
	return 2
}
