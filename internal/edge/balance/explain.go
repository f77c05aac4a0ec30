package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// Candidate is an upstream with its cost, by part.
type Candidate struct {
	ID, Zone string
	Cost     time.Duration // the sum of the parts
	Queue    time.Duration // of the calls in flight and the new one, at the measured latency
	Errors   time.Duration // expected of errors
	Distance time.Duration // to another zone
	InFlight int           // calls
	Ejected  bool          // it is picked only if there is no other
}

// candidate returns the cost of an upstream as seen from a zone.
func (s *upstreamState) candidate(u hosts.Upstream, zone string, now time.Time) Candidate {
	c := Candidate{
		ID: u.ID, Zone: u.Zone, Queue: time.Duration(s.inFlight+1) * s.latency,
		Errors: time.Duration(s.errorRate * float64(errorCost)), InFlight: s.inFlight, Ejected: now.Before(s.ejectedUntil),
	}
	if u.Zone != zone {
		c.Distance = crossZoneCost
	}
	c.Cost = c.Queue + c.Errors + c.Distance
	return c
}

// Explain returns the costs of upstreams as seen from a zone, in the order in which Pick prefers them. It counts no call.
func (p *Picker) Explain(candidates []hosts.Upstream, zone string) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Candidate, 0, len(candidates))
	for _, u := range candidates {
		out = append(out, p.state(u.Lifetime()).candidate(u, zone, p.now()))
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		if a.Ejected != b.Ejected {
			if b.Ejected {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return out
}
