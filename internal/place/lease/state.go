package lease

import "maps"

// Grant is the current planner's lease.
type Grant struct {
	Holder      string
	Offset      int64 // of the claim; identifies the lease
	LastRenewal int64 // offset of the claim or of its last renewal
}

// Placement is the current placement plan.
type Placement struct {
	Offset   int64 // fencing number of the orders that carry it out
	Revision int64
	Targets  map[string]Target
}

// Owner is the sidecar that may send orders to an upstream's engine.
type Owner struct {
	Incarnation string
	Offset      int64   // of the owner record
	Holds       *Target // what the engine has loaded according to the last report; nil before the first
}

// State is the immutable result of applying the records of the plan stream in order; readers of the same records get
// the same state. Claims and renewals form a chain in which each names its predecessor, so that no clock decides which
// of them count.
type State struct {
	first      int64 // offset of the first record applied
	next       int64
	grant      Grant
	chainRoot  int64               // predecessor named by the claim or renewal that the chain starts with
	plan       Placement           // of the current lease
	earlyPlans map[int64]Placement // by lease: plans of leases of which no claim or renewal has been read
	owners     map[string]Owner    // by name of the upstream
	ignored    int64               // records that had no effect
}

// New returns the state before any record, for a reader that starts at offset first.
func New(first int64) *State {
	// The chain's root starts below -1, the predecessor that the first claim of a stream names.
	return &State{
		first: first, next: first, chainRoot: -2,
		grant:      Grant{Offset: -1, LastRenewal: -1},
		plan:       Placement{Offset: -1},
		earlyPlans: map[int64]Placement{},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() int64 { return s.next }

// Grant returns the current lease; its Offset is -1 before the first claim.
func (s *State) Grant() Grant { return s.grant }

// Plan returns the current plan; its Offset is -1 before the first.
func (s *State) Plan() Placement { return s.plan }

// Owner returns the sidecar that may send orders to an upstream's engine; its Incarnation is empty if there is none.
func (s *State) Owner(upstream string) Owner { return s.owners[upstream] }

// Ignored returns the number of records that had no effect.
func (s *State) Ignored() int64 { return s.ignored }

// Apply returns the state after the record at offset Next, and whether the record had an effect.
func (s *State) Apply(data []byte) (*State, bool) {
	c := *s
	offset := s.next
	c.next++
	r, err := Decode(data)
	if err != nil || !c.applyRecord(offset, r) {
		c.ignored++
		return &c, false
	}
	return &c, true
}

// applyRecord updates the state in place and reports whether the record had an effect.
func (s *State) applyRecord(offset int64, r Record) bool {
	switch r.Kind {
	case KindClaim:
		return r.Holder != "" && s.extendChain(r, Grant{Holder: r.Holder, Offset: offset, LastRenewal: offset})
	case KindRenew:
		// A renewal must name the current lease, unless its predecessor precedes the first record read.
		if r.After >= s.first && r.Lease != s.grant.Offset || r.Lease > r.After {
			return false
		}
		return s.extendChain(r, Grant{Holder: r.Holder, Offset: r.Lease, LastRenewal: offset})
	case KindPlan:
		return s.applyPlan(Placement{Offset: offset, Revision: r.Revision, Targets: r.Targets}, r.Lease)
	case KindOwner:
		return s.applyOwner(r, Owner{Incarnation: r.Incarnation, Offset: offset})
	case KindReport:
		return r.OwnerOffset < offset &&
			s.applyOwner(r, Owner{Incarnation: r.Incarnation, Offset: r.OwnerOffset, Holds: r.Holds})
	default:
		return false
	}
}

// extendChain appends a claim or a renewal to the chain and reports whether it belongs there; renewed is the grant that
// it leads to. Of those whose predecessor precedes the first record read, the one with the latest predecessor counts,
// as the others lost to it.
func (s *State) extendChain(r Record, renewed Grant) bool {
	switch {
	case r.After >= s.first:
		if r.After != s.grant.LastRenewal {
			return false
		}
	case r.After <= s.chainRoot || s.first == 0 && s.grant.LastRenewal >= 0:
		return false
	default:
		s.chainRoot = r.After
	}
	if renewed.Offset != s.grant.Offset {
		if p, ok := s.earlyPlans[renewed.Offset]; ok {
			s.plan = p
		}
	}
	s.grant = renewed
	return true
}

// applyPlan records a plan of the current lease and reports whether it did. A plan of a lease whose claim precedes the
// first record read is kept until a renewal shows that the lease is current.
func (s *State) applyPlan(p Placement, lease int64) bool {
	if lease == s.grant.Offset {
		s.plan = p
		return true
	}
	if s.first == 0 || lease >= s.first {
		return false
	}
	s.earlyPlans = maps.Clone(s.earlyPlans)
	s.earlyPlans[lease] = p
	return false
}

// applyOwner records an owner or a report; those of a previous owner are ignored. A reader that starts in mid-stream
// learns an owner whose record it has not read from that owner's reports.
func (s *State) applyOwner(r Record, owner Owner) bool {
	known, ok := s.owners[r.Upstream]
	if r.Upstream == "" || r.Incarnation == "" || ok && owner.Offset < known.Offset {
		return false
	}
	if r.Kind == KindReport && owner.Offset >= s.first && owner.Offset != known.Offset {
		return false
	}
	s.owners = maps.Clone(s.owners)
	if s.owners == nil {
		s.owners = map[string]Owner{}
	}
	s.owners[r.Upstream] = owner
	return true
}
