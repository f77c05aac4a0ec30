package pick

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

const pointsPerUpstream = 8

// Upstream is one candidate.
type Upstream struct {
	Name          string
	Zone          string
	Models        []string     // models, adapters and versions loaded; empty for any
	Gauge         *gauge.Gauge // shared by all snapshots that hold the upstream
	SlowStartFrom time.Time    // start of its slow start; zero for none
	// Excluded keeps it from being chosen: it is leaving, unhealthy, ejected or in a zone under maintenance.
	Excluded bool
}

type point struct {
	hash  uint64
	index int32
}

type group struct {
	zone  string
	model string
}

// Set is an immutable snapshot of a pool's upstreams, indexed for choices.
type Set struct {
	all    []Upstream
	byName map[string]int32
	groups map[group][]int32 // zone "" holds every zone, model "" holds every model
	ring   []point
}

// NewSet indexes upstreams; the slice must not change afterwards.
func NewSet(upstreams []Upstream) *Set {
	s := &Set{
		all:    upstreams,
		byName: make(map[string]int32, len(upstreams)),
		groups: map[group][]int32{},
	}
	for i := range upstreams {
		s.add(int32(i))
	}
	slices.SortFunc(s.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return s
}

// Len is the number of upstreams, those out included.
func (s *Set) Len() int { return len(s.all) }

// At returns the upstream at index, 0 to Len less 1.
func (s *Set) At(index int) Upstream { return s.all[index] }

// Find returns the upstream of that name.
func (s *Set) Find(name string) (Upstream, bool) {
	i, ok := s.byName[name]
	if !ok {
		return Upstream{}, false
	}
	return s.all[i], true
}

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
		s.groups[group{u.Zone, m}] = append(s.groups[group{u.Zone, m}], i)
		s.groups[group{"", m}] = append(s.groups[group{"", m}], i)
	}
	for n := range pointsPerUpstream {
		s.ring = append(s.ring, point{xxhash.Sum64String(u.Name + "/" + strings.Repeat("+", n)), i})
	}
}

// home returns the position on the ring from which a prefix looks for its upstream.
func (s *Set) home(prefix string) int {
	h := xxhash.Sum64String(prefix)
	i, _ := slices.BinarySearchFunc(s.ring, h, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	return i
}

func (u *Upstream) ejected(now time.Time) bool {
	until, ok := u.Gauge.EjectedUntil()
	return ok && now.Before(until)
}

func (u *Upstream) serves(model string) bool {
	return model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)
}
