package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/route/spill"
)

const (
	defaultChoices       = 2
	defaultSlowStart     = 10 * time.Second
	defaultSpillLoad     = 0.9
	defaultAffinityBound = 1.0
	affinitySlack        = 2.0 // see withinAffinityBound
	minSlowStartFactor   = 0.1
	drawsPerChoice       = 4   // most random draws for each candidate, as some draws are repeated, avoided or ejected
	maxRingSteps         = 16  // points of the ring that are tried for an eligible upstream
	spillScoreRatio      = 0.7 // the score of an upstream in another zone must not exceed this part of the local one's
)

// Reason says why an upstream was chosen.
type Reason string

// The reasons.
const (
	LeastLoad  Reason = "leastLoad" // least score of the samples
	CacheHit   Reason = "cacheHit"  // known to hold the prefix
	CacheHome  Reason = "cacheHome" // the first eligible upstream on the hash ring
	Spilled    Reason = "spilled"   // another zone was less loaded
	OtherZone  Reason = "otherZone" // no upstream sampled in its own zone can take the call
	FullSearch Reason = "lastLeft"  // no sample can take the call, the whole set was searched
)

// Affinity finds the upstreams that hold a prompt prefix in their caches.
type Affinity interface {
	// Holders returns the names of the upstreams that probably hold prefix; it must not allocate.
	Holders(prefix string) []string
}

// Options configure a picker; a zero field takes its default.
type Options struct {
	// Choices is how many candidates are compared, 2 by default.
	Choices int
	// SlowStart is the time over which the share of calls of a new upstream grows, 10 s by default.
	SlowStart time.Duration
	// SpillLoad is the load per slot from which a call may leave its zone, 0.9 by default.
	SpillLoad float64
	// Spill caps the calls that leave their zone for a less loaded one; nil sets no cap.
	Spill *spill.Cap
	// Affinity finds holders of prefixes; nil turns affinity off.
	Affinity Affinity
	// AffinityBound is the load per slot up to which a holder is chosen, 1 by default.
	AffinityBound float64
}

func (o Options) withDefaults() Options {
	if o.Choices < 2 {
		o.Choices = defaultChoices
	}
	if o.SlowStart == 0 {
		o.SlowStart = defaultSlowStart
	}
	if o.SpillLoad <= 0 {
		o.SpillLoad = defaultSpillLoad
	}
	if o.AffinityBound <= 0 {
		o.AffinityBound = defaultAffinityBound
	}
	return o
}

// Query describes the call to route.
type Query struct {
	Zone      string   // of the entry
	Model     string   // empty for any
	Prefix    string   // digest of the prompt's prefix; empty for none
	Avoid     []string // names of upstreams to use only when no other is left
	SizeClass pipe.SizeClass
}

// Choice is the chosen upstream and the reason.
type Choice struct {
	Index      int // in the set
	Name       string
	Reason     Reason
	Candidates int           // upstreams examined
	Load       float64       // expected calls per slot with this call
	LoadAge    time.Duration // age of the load report used; negative without one
}

// Picker chooses upstreams; it is safe for concurrent use.
type Picker struct {
	opts Options
	mu   sync.Mutex
	rng  *rand.Rand
}

// New returns a picker that draws from rng.
func New(rng *rand.Rand, o Options) *Picker {
	return &Picker{opts: o.withDefaults(), rng: rng}
}

// candidate is an upstream that was evaluated for a call.
type candidate struct {
	index    int32
	score    float64       // expected time relative to a call on an unloaded upstream, corrected for slow start
	load     float64       // as Choice.Load
	age      time.Duration // as Choice.LoadAge
	examined int           // number of upstreams examined so far
}

// Choose returns the upstream for a call; false when none may take it.
func (p *Picker) Choose(q Query, set *Set, now time.Time) (Choice, bool) {
	if p.opts.Spill != nil {
		p.opts.Spill.CountCall()
	}
	c, reason, ok := p.choose(q, set, now)
	if !ok {
		return Choice{}, false
	}
	return Choice{
		Index:      int(c.index),
		Name:       set.all[c.index].Name,
		Reason:     reason,
		Candidates: c.examined,
		Load:       c.load,
		LoadAge:    c.age,
	}, true
}

// choose returns the chosen upstream and the reason; false when none may take the call.
func (p *Picker) choose(q Query, set *Set, now time.Time) (candidate, Reason, bool) {
	best, ok := p.sample(q, set, q.Zone, now)
	reason := LeastLoad
	switch {
	case !ok:
		best, ok = p.sample(q, set, "", now)
		reason = OtherZone
	case q.Zone != "" && best.load > p.opts.SpillLoad:
		best, reason = p.trySpill(q, set, best, now)
	}
	if !ok {
		best, ok = p.searchAll(q, set, now)
		return best, FullSearch, ok
	}
	if q.Prefix != "" && p.opts.Affinity != nil {
		return p.useCached(q, set, best, reason, now)
	}
	return best, reason, true
}

// sample returns the best of a few random upstreams of a zone, or of all zones when zone is empty. It returns false
// when all that were drawn are avoided or ejected, or there is none with the model.
func (p *Picker) sample(q Query, set *Set, zone string, now time.Time) (candidate, bool) {
	members := set.groups[groupKey{zone, q.Model}]
	if len(members) == 0 {
		return candidate{}, false
	}
	var best candidate
	for tries := 0; best.examined < p.opts.Choices && tries < p.opts.Choices*drawsPerChoice; tries++ {
		i := members[p.randomIndex(len(members))]
		if best.examined > 0 && i == best.index && len(members) > 1 {
			continue
		}
		if slices.Contains(q.Avoid, set.all[i].Name) || set.all[i].ejected(now) {
			continue
		}
		c := p.evaluate(set, i, now)
		c.examined = best.examined + 1
		if best.examined > 0 && best.score <= c.score {
			best.examined++
			continue
		}
		best = c
	}
	return best, best.examined > 0
}

// trySpill returns a clearly better upstream of another zone if the cap allows it, or else local.
func (p *Picker) trySpill(q Query, set *Set, local candidate, now time.Time) (candidate, Reason) {
	remote, ok := p.sample(q, set, "", now)
	if !ok || set.all[remote.index].Zone == q.Zone || remote.score > spillScoreRatio*local.score {
		return local, LeastLoad
	}
	if p.opts.Spill != nil && !p.opts.Spill.Allow() {
		return local, LeastLoad
	}
	remote.examined += local.examined
	return remote, Spilled
}

// useCached replaces best by the best holder of the prefix, or without holders by its home on the ring, if the load is
// within bounds.
func (p *Picker) useCached(q Query, set *Set, best candidate, reason Reason, now time.Time) (candidate, Reason, bool) {
	examined := best.examined
	var hit candidate
	for _, name := range p.opts.Affinity.Holders(q.Prefix) {
		i, ok := set.byName[name]
		if !ok {
			continue
		}
		c, ok := p.eligible(q, set, i, now)
		if !ok {
			continue
		}
		examined++
		if hit.examined == 0 || c.score < hit.score {
			hit = c
			hit.examined = 1
		}
	}
	if hit.examined > 0 {
		best.examined, hit.examined = examined, examined
		if p.withinAffinityBound(hit, best) {
			return hit, CacheHit, true
		}
		return best, reason, true
	}
	if c, ok := p.findHome(q, set, now); ok && p.withinAffinityBound(c, best) {
		c.examined = examined + 1
		return c, CacheHome, true
	}
	return best, reason, true
}

// findHome walks the hash ring to the first eligible upstream, so that all entries find the same one.
func (p *Picker) findHome(q Query, set *Set, now time.Time) (candidate, bool) {
	at := set.ringPosition(q.Prefix)
	for step := range min(maxRingSteps, len(set.ring)) {
		i := set.ring[(at+step)%len(set.ring)].index
		if c, ok := p.eligible(q, set, i, now); ok {
			return c, true
		}
	}
	return candidate{}, false
}

// withinAffinityBound reports whether c is loaded little enough to be chosen for its cache instead of best.
func (p *Picker) withinAffinityBound(c, best candidate) bool {
	return c.load <= p.opts.AffinityBound && c.score <= affinitySlack*best.score+affinitySlack
}

// eligible evaluates an upstream; false when it may not take the call.
func (p *Picker) eligible(q Query, set *Set, i int32, now time.Time) (candidate, bool) {
	u := &set.all[i]
	if u.Excluded || u.ejected(now) || !u.serves(q.Model) || (q.Zone != "" && u.Zone != q.Zone) ||
		slices.Contains(q.Avoid, u.Name) {
		return candidate{}, false
	}
	return p.evaluate(set, i, now), true
}

// searchAll examines every upstream that is not excluded, and prefers those neither avoided nor ejected.
func (p *Picker) searchAll(q Query, set *Set, now time.Time) (candidate, bool) {
	var best candidate
	avoided := true
	for _, i := range set.groups[groupKey{"", q.Model}] {
		c := p.evaluate(set, i, now)
		avoid := slices.Contains(q.Avoid, set.all[i].Name) || set.all[i].ejected(now)
		examined := best.examined + 1
		if best.examined == 0 || (avoided && !avoid) || (avoided == avoid && c.score < best.score) {
			best, avoided = c, avoid
		}
		best.examined = examined
	}
	return best, best.examined > 0
}

// evaluate returns the load and the score of an upstream. Above one call per slot the score grows by a further factor
// of the load.
func (p *Picker) evaluate(set *Set, i int32, now time.Time) candidate {
	u := &set.all[i]
	load, age := u.Gauge.Estimate(now)
	score := (1 + load) * u.Gauge.Slowness(now)
	if load > 1 {
		score *= load
	}
	return candidate{index: i, score: score / p.slowStartFactor(u, now), load: load, age: age}
}

// slowStartFactor grows from 0.1 to 1 during the slow start of an upstream that is new or back from an ejection.
func (p *Picker) slowStartFactor(u *Upstream, now time.Time) float64 {
	since := u.SlowStartFrom
	if back, ok := u.Gauge.EjectedUntil(); ok && back.After(since) {
		since = back
	}
	if since.IsZero() {
		return 1
	}
	elapsed := now.Sub(since)
	if elapsed >= p.opts.SlowStart {
		return 1
	}
	return max(minSlowStartFactor, float64(elapsed)/float64(p.opts.SlowStart))
}

func (p *Picker) randomIndex(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}
