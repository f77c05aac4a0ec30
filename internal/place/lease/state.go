package lease

import "maps"

// Grant is the planner's lease in force.
type Grant struct {
	Holder      string
	Offset      int64 // of the claim; names the lease
	LastRenewal int64 // offset of the claim or of its last renewal
}

// Placement is the placement plan in force.
type Placement struct {
	Offset   int64 // the fencing number of orders that carry it out
	Revision int64
	Targets  map[string]Target
}

// Owner is the side that may give orders to an upstream's engine.
type Owner struct {
	Incarnation string
	Offset      int64   // of the seat
	Holds       *Target // what the engine was last reported to hold; nil before the first report
}

// State is the fold of the plan stream, immutable; two readers of the same records hold the same state. Claims and renewals
// form a chain, each naming the one before, so that no clock decides which of them count.
type State struct {
	first   int64 // first offset folded
	next    int64
	holding Grant
	root    int64               // what the first link folded names as the one before
	plan    Placement           // of the lease in force
	early   map[int64]Placement // plans by lease, while no link has been folded
	seats   map[string]Owner    // by upstream
	ignored int64
}

// New returns the state before the first record read, which has the given offset.
func New(first int64) *State {
	return &State{
		first: first, next: first, root: -2,
		holding: Grant{Offset: -1, LastRenewal: -1},
		plan:    Placement{Offset: -1},
		early:   map[int64]Placement{},
	}
}

// Next is the offset of the next record to apply.
func (s *State) Next() int64 { return s.next }

// Grant is the lease in force; its Offset is -1 before the first.
func (s *State) Grant() Grant { return s.holding }

// Plan is the plan in force; its Offset is -1 before the first.
func (s *State) Plan() Placement { return s.plan }

// Owner is the side that may give orders to an upstream's engine; its Incarnation is empty for none.
func (s *State) Owner(upstream string) Owner { return s.seats[upstream] }

// Ignored counts the records that took no effect.
func (s *State) Ignored() int64 { return s.ignored }

// Apply returns the state after the record at the next offset, and whether the record took effect.
func (s *State) Apply(data []byte) (*State, bool) {
	c := *s
	offset := s.next
	c.next++
	r, err := Decode(data)
	if err != nil || !c.take(offset, r) {
		c.ignored++
		return &c, false
	}
	return &c, true
}

func (s *State) take(offset int64, r Record) bool {
	switch r.Kind {
	case KindClaim:
		return r.Holder != "" && s.link(r, Grant{Holder: r.Holder, Offset: offset, LastRenewal: offset})
	case KindRenew:
		if r.After >= s.first && r.Lease != s.holding.Offset || r.Lease > r.After {
			return false
		}
		return s.link(r, Grant{Holder: r.Holder, Offset: r.Lease, LastRenewal: offset})
	case KindPlan:
		return s.takePlan(Placement{Offset: offset, Revision: r.Revision, Targets: r.Targets}, r.Lease)
	case KindOwner:
		return s.takeSeat(r, Owner{Incarnation: r.Incarnation, Offset: offset})
	case KindReport:
		return r.OwnerOffset < offset && s.takeSeat(r, Owner{Incarnation: r.Incarnation, Offset: r.OwnerOffset, Holds: r.Holds})
	default:
		return false
	}
}

// link appends a claim or a renewal to the chain. Of those whose predecessor lies before the first record read, the one
// with the latest predecessor is right: the others lost to it there.
func (s *State) link(r Record, h Grant) bool {
	switch {
	case r.After >= s.first:
		if r.After != s.holding.LastRenewal {
			return false
		}
	case r.After <= s.root || s.first == 0 && s.holding.LastRenewal >= 0:
		return false
	default:
		s.root = r.After
	}
	if h.Offset != s.holding.Offset {
		if p, ok := s.early[h.Offset]; ok {
			s.plan = p
		}
	}
	s.holding = h
	return true
}

func (s *State) takePlan(p Placement, lease int64) bool {
	if lease == s.holding.Offset {
		s.plan = p
		return true
	}
	if s.first == 0 || lease >= s.first {
		return false
	}
	s.early = maps.Clone(s.early)
	s.early[lease] = p
	return false
}

// takeSeat records a seat or a report; one that belongs to an earlier seat is ignored. A reader from mid-stream takes a
// seat that it has not read from a report.
func (s *State) takeSeat(r Record, seat Owner) bool {
	known, ok := s.seats[r.Upstream]
	if r.Upstream == "" || r.Incarnation == "" || ok && seat.Offset < known.Offset {
		return false
	}
	if r.Kind == KindReport && seat.Offset >= s.first && seat.Offset != known.Offset {
		return false
	}
	s.seats = maps.Clone(s.seats)
	if s.seats == nil {
		s.seats = map[string]Owner{}
	}
	s.seats[r.Upstream] = seat
	return true
}
