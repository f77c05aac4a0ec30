package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/limit/inflow"
	"github.com/ragworthatch/ragworthatch/internal/limit/kvmem"
)

// selection is the choice of an engine for one order.
type selection struct {
	order   Order
	keys    []uint64
	spec    rule.Engine
	now     time.Time
	home    string
	inTime  bool // only engines that begin the order in time
	policy  *inflow.Policy
	bounded bool // the policy applies
	bound   inflow.Bound
	memory  *kvmem.Budget
	tokens  int // of memory that the order may need
	full    int // engines seen that lack memory
	// mostCached returns the prompt tokens that an engine has cached, at most. It looks at all engines, and is called only for
	// engines with a backlog.
	mostCached func() int

	offered int // engines seen
	found   bool
	best    hosts.Upstream
	cost    time.Duration
	// spare is the engine that would begin the order first among those that are in time but kept for more urgent requests.
	spareFound  bool
	spare       hosts.Upstream
	spareTokens int
	spareStart  time.Duration
}

// newSelection returns a selection without engines. The bounds on waiting prompts do not apply to an order that needs a
// version, as its stream has begun.
func (p *Placer) newSelection(o Order, keys []uint64, t *hosts.Table, spec rule.Engine, now time.Time) *selection {
	policy := p.inflowOf(o.Pool)
	s := &selection{
		order: o, keys: keys, spec: spec, now: now, home: p.homeEngine(o, keys, t, now), inTime: o.InTime || p.isLimited(o, t),
		policy: policy, memory: p.memory, bound: inflow.Bound{Memory: 1},
	}
	s.tokens = p.tokensOf(o)
	if o.Version == "" && policy.Active(now) {
		s.bounded, s.bound = true, policy.BoundOf(o.inflow())
	}
	s.mostCached = sync.OnceValue(func() int {
		most := 0
		for _, u := range o.Ready(t) {
			most = max(most, p.engine(u).cachedTokens(o, keys, now))
		}
		return most
	})
	return s
}

// observe learns from an order that is to be placed.
func (p *Placer) observe(o Order, now time.Time) {
	p.inflowOf(o.Pool).Observe(o.inflow(), now)
	p.outputs.Observe(o.Route, o.OutputHint, o.OutputLimit, now)
}

func (p *Placer) inflowOf(pool string) *inflow.Policy {
	policy := p.inflows[pool]
	if policy == nil {
		policy = inflow.New(rand.Float64)
		p.inflows[pool] = policy
	}
	return policy
}

// offer considers an engine.
func (s *selection) offer(u hosts.Upstream, e *engine) {
	s.offered++
	if !s.admits(u, e) {
		return
	}
	cost := e.cost(s.order, s.keys, u, s.spec, s.now)
	if u.ID == s.home {
		cost -= e.homeDiscount(s.order)
	}
	if !s.found || cost < s.cost {
		s.best, s.cost, s.found = u, cost, true
	}
}

// admits reports whether an engine may take the order.
func (s *selection) admits(u hosts.Upstream, e *engine) bool {
	if s.spec.Tokens > 0 && !s.memory.Fits(u.ID, s.tokens, s.spec.Tokens, s.bound.Memory) {
		s.full++
		return false
	}
	uncached := s.order.PromptTokens - e.cachedTokens(s.order, s.keys, s.now)
	if s.inTime && e.startTime(uncached) > s.order.Within {
		return false
	}
	return !s.bounded || s.withinBounds(u, e, uncached)
}

// withinBounds reports whether an engine has few enough prompts to read for the order, and a free slot. Tokens that are
// cached at another engine count twice, because reading them again takes the place of other prompts. It remembers the
// engine as a spare one if these would be few enough without more urgent requests.
func (s *selection) withinBounds(u hosts.Upstream, e *engine, uncached int) bool {
	if s.spec.Slots > 0 && len(e.running) >= s.spec.Slots {
		return false
	}
	pending, cached := e.pendingPrefill, s.order.PromptTokens-uncached
	if !e.knowsCache(s.now) { // refuses nothing for prompts that may well be cached
		pending, uncached = e.pendingSurely, min(uncached, e.surelyUncached(s.order, s.keys, s.now))
	}
	ahead := e.readTime(pending) - firstTokenOverhead
	if ahead <= s.bound.Late {
		return true
	}
	start := e.readTime(pending + uncached + max(0, s.mostCached()-cached))
	if start > s.bound.Total {
		return false
	}
	if ahead <= s.bound.Ahead {
		return true
	}
	if !s.spareFound || start < s.spareStart {
		s.spare, s.spareTokens, s.spareStart, s.spareFound = u, uncached, start, true
	}
	return false
}

// Crowded reports whether all engines that an order may use have too many prompts to read for it, no free slot, or too
// little memory. The order is to be refused then, and its caller may come back after a time.
func (p *Placer) Crowded(o Order, t *hosts.Table, spec rule.Engine, now time.Time) (retryAfter time.Duration, crowded bool) {
	p.observe(o, now)
	s := p.newSelection(o, prefixKeys(o), t, spec, now)
	for _, u := range o.Ready(t) {
		e := p.current(u, now)
		if now.Before(e.ejectedUntil) {
			continue
		}
		s.offered++
		if s.admits(u, e) || s.spareFound { // one is enough
			return 0, false
		}
	}
	if (!s.bounded && s.full < s.offered) || s.found || s.spareFound || s.offered == 0 {
		return 0, false
	}
	return s.policy.Refuse(o.inflow(), now), true
}
