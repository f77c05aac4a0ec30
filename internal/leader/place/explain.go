package place

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

// State says whether an engine can be picked.
type State string

// The states of an engine.
const (
	StateFree    State = "free"
	StatePaused  State = "paused"  // wants no requests of the order's entry for now
	StateLimited State = "limited" // named a limit that is used up
	StateEjected State = "ejected" // failed lately; it is picked only if there is no other
	StateCrowded State = "crowded" // has too many prompts to read for the order, no free slot, or too little memory
)

// Candidate is an engine with the cost that it would have for an order, by part.
type Candidate struct {
	ID, Zone     string
	State        State
	Cost         time.Duration // the sum of the parts
	Backlog      time.Duration // of its other requests and lately failed ones
	Prompt       time.Duration // to read the prompt, as far as it is not cached, and to hold it in memory
	Distance     time.Duration // to the caller, and of the results of stages
	Home         time.Duration // negative if it is the home of the prompt
	CachedTokens int           // of the prompt, as expected
	Running      int           // requests
}

// Explain returns the engines that an order may use with their costs, those that can be picked first, the lowest cost
// first. It changes nothing.
func (p *Placer) Explain(o Order, t *hosts.Table, spec rule.Engine, now time.Time) []Candidate {
	keys := prefixKeys(o)
	s := p.newSelection(o, keys, t, spec, now)
	var out []Candidate
	for _, u := range o.Ready(t) {
		e := p.current(u, now)
		near, empty := o, o
		near.Zone, near.ByZone, near.Base = u.Zone, nil, ""
		empty = near
		empty.PromptTokens, empty.Prefix = 0, nil
		c := Candidate{ID: u.ID, Zone: u.Zone, State: StateFree, CachedTokens: e.cachedTokens(o, keys, now), Running: len(e.running)}
		c.Backlog = e.cost(empty, nil, u, spec, now)
		c.Prompt = e.cost(near, keys, u, spec, now) - c.Backlog
		c.Distance = e.cost(o, keys, u, spec, now) - c.Prompt - c.Backlog
		if u.ID == s.home {
			c.Home = -e.homeDiscount(o)
		}
		c.Cost = c.Backlog + c.Prompt + c.Distance + c.Home
		switch {
		case now.Before(e.pausedUntil[o.Entry]):
			c.State = StatePaused
		case p.limits.Wait(u.Lifetime()) > 0:
			c.State = StateLimited
		case now.Before(e.ejectedUntil):
			c.State = StateEjected
		case !s.admits(u, e):
			c.State = StateCrowded
		}
		out = append(out, c)
	}
	rank := func(s State) int {
		return slices.Index([]State{StateFree, StateEjected, StateCrowded, StateLimited, StatePaused}, s)
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a.State), rank(b.State)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	return out
}
