package pick

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

// ringPointsPerUpstream is the number of points that each upstream has on the hash ring.
const ringPointsPerUpstream = 8

// Upstream is an upstream that may be chosen.
type Upstream struct {
	Name          string
	Zone          string
	Models        []string     // loaded models, adapters and versions; empty for any
	Gauge         *gauge.Gauge // shared by all sets that contain the upstream
	SlowStartFrom time.Time    // start of the slow start; zero for none
	// Excluded keeps the upstream from being chosen, as it is leaving, unhealthy, ejected or in a zone under maintenance.
	Excluded bool
}

// ringPoint is a point of an upstream on the consistent hash ring.
type ringPoint struct {
	hash  uint64
	index int32 // into Set.all
}

// groupKey selects the upstreams of a zone that have loaded a model. An empty zone stands for all zones, an empty model
// for all upstreams whatever they have loaded.
type groupKey struct {
	zone  string
	model string
}

// Set is an immutable, indexed snapshot of a pool's upstreams.
type Set struct {
	all    []Upstream
	byName map[string]int32
	groups map[groupKey][]int32 // indexes into all, without excluded upstreams
	ring   []ringPoint          // consistent hash ring, by hash
}

// NewSet returns a set of upstreams. It keeps the slice, which must not change afterwards.
func NewSet(upstreams []Upstream) *Set {
	s := &Set{
		all:    upstreams,
		byName: make(map[string]int32, len(upstreams)),
		groups: map[groupKey][]int32{},
	}
	for i := range upstreams {
		s.add(int32(i))
	}
	slices.SortFunc(s.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return s
}

// Len returns the number of upstreams, including excluded ones.
func (s *Set) Len() int { return len(s.all) }

// At returns the upstream at index, from 0 to Len()-1.
func (s *Set) At(index int) Upstream { return s.all[index] }

// Find returns the upstream with the name; false if there is none.
func (s *Set) Find(name string) (Upstream, bool) {
	i, ok := s.byName[name]
	if !ok {
		return Upstream{}, false
	}
	return s.all[i], true
}

// add indexes the upstream at position i of all.
func (s *Set) add(i int32) {
	u := &s.all[i]
	if u.Gauge == nil {
		u.Gauge = &gauge.Gauge{}
	}
	s.byName[u.Name] = i
	if u.Excluded {
		return
	}
	models := append([]string{""}, u.Models...)
	for _, m := range models {
		s.groups[groupKey{u.Zone, m}] = append(s.groups[groupKey{u.Zone, m}], i)
		s.groups[groupKey{"", m}] = append(s.groups[groupKey{"", m}], i)
	}
	for n := range ringPointsPerUpstream {
		s.ring = append(s.ring, ringPoint{xxhash.Sum64String(u.Name + "/" + strings.Repeat("+", n)), i})
	}
}

// ringPosition returns the position on the ring from which the search for the home of a prefix starts.
func (s *Set) ringPosition(prefix string) int {
	h := xxhash.Sum64String(prefix)
	i, _ := slices.BinarySearchFunc(s.ring, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

// ejected reports whether the upstream is ejected at the given time.
func (u *Upstream) ejected(now time.Time) bool {
	until, ok := u.Gauge.EjectedUntil()
	return ok && now.Before(until)
}

// serves reports whether the upstream has loaded a model; an empty model stands for any.
func (u *Upstream) serves(model string) bool {
	return model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)
}
