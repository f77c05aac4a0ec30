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
	defaultSpillAt       = 0.9
	defaultAffinityBound = 1.0
	affinitySlack        = 2.0
	slowStartFloor       = 0.1
	attemptsPerChoice    = 4
	maxRingSteps         = 16
	spillGain            = 0.7 // a remote upstream's score must be below this part of the local one's
)

// Reason says why an upstream was chosen.
type Reason string

// The reasons.
const (
	LeastLoad  Reason = "leastLoad"
	CacheHit   Reason = "cacheHit"  // known to hold the prefix
	CacheHome  Reason = "cacheHome" // where the prefix belongs
	Spilled    Reason = "spilled"   // left the zone by choice
	OtherZone  Reason = "otherZone" // nothing in its own zone can take the call
	FullSearch Reason = "lastLeft"  // the samples found nothing, the whole set was searched
)

// Affinity knows which upstreams hold a prompt prefix.
type Affinity interface {
	// Holders returns the names of upstreams that are thought to hold prefix; it must not allocate.
	Holders(prefix string) []string
}

// Options configure a picker; a zero field takes its default.
type Options struct {
	// Choices is how many candidates are compared, 2 by default.
	Choices int
	// SlowStart is how long a new upstream's share of calls grows, 10 s by default.
	SlowStart time.Duration
	// SpillLoad is the load per slot from which a call may leave its zone, 0.9 by default.
	SpillLoad float64
	// Spill caps the calls that leave their zone by choice; nil keeps none back.
	Spill *spill.Cap
	// Affinity finds holders of prefixes; nil turns affinity off.
	Affinity Affinity
	// AffinityBound is the load per slot up to which a holder is taken, 1 by default.
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
		o.SpillLoad = defaultSpillAt
	}
	if o.AffinityBound <= 0 {
		o.AffinityBound = defaultAffinityBound
	}
	return o
}

// Query describes the call to route.
type Query struct {
	Zone      string // of the entry
	Model     string // empty for any
	Prefix    string // digest of the prompt's prefix; empty for none
	Avoid     []string
	SizeClass pipe.SizeClass
}

// Choice is the upstream chosen and why.
type Choice struct {
	Index      int // in the set
	Name       string
	Reason     Reason
	Candidates int           // upstreams looked at
	Load       float64       // expected calls per slot with this call
	LoadAge    time.Duration // age of the report used; negative without one
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

type candidate struct {
	index int32
	score float64 // expected time in units of an unloaded call, corrected for slow start
	load  float64
	age   time.Duration
	seen  int
}

// Choose returns the upstream for a call, false when no upstream may take it.
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
		Candidates: c.seen,
		Load:       c.load,
		LoadAge:    c.age,
	}, true
}

func (p *Picker) choose(q Query, set *Set, now time.Time) (candidate, Reason, bool) {
	best, ok := p.best(q, set, q.Zone, now)
	reason := LeastLoad
	switch {
	case !ok:
		best, ok = p.best(q, set, "", now)
		reason = OtherZone
	case q.Zone != "" && best.load > p.opts.SpillLoad:
		best, reason = p.spill(q, set, best, now)
	}
	if !ok {
		best, ok = p.search(q, set, now)
		return best, FullSearch, ok
	}
	if q.Prefix != "" && p.opts.Affinity != nil {
		return p.prefer(q, set, best, reason, now)
	}
	return best, reason, true
}

// best compares a few random upstreams of a zone, or of all zones when it is empty.
func (p *Picker) best(q Query, set *Set, zone string, now time.Time) (candidate, bool) {
	members := set.groups[group{zone, q.Model}]
	if len(members) == 0 {
		return candidate{}, false
	}
	var best candidate
	for tries := 0; best.seen < p.opts.Choices && tries < p.opts.Choices*attemptsPerChoice; tries++ {
		i := members[p.draw(len(members))]
		if best.seen > 0 && i == best.index && len(members) > 1 {
			continue
		}
		if slices.Contains(q.Avoid, set.all[i].Name) || set.all[i].ejected(now) {
			continue
		}
		c := p.rate(set, i, now)
		c.seen = best.seen + 1
		if best.seen > 0 && best.score <= c.score {
			best.seen++
			continue
		}
		best = c
	}
	return best, best.seen > 0
}

func (p *Picker) spill(q Query, set *Set, local candidate, now time.Time) (candidate, Reason) {
	remote, ok := p.best(q, set, "", now)
	if !ok || set.all[remote.index].Zone == q.Zone || remote.score > spillGain*local.score {
		return local, LeastLoad
	}
	if p.opts.Spill != nil && !p.opts.Spill.Allow() {
		return local, LeastLoad
	}
	remote.seen += local.seen
	return remote, Spilled
}

// prefer takes a holder of the prefix, or else its home, while its load is in bounds.
func (p *Picker) prefer(q Query, set *Set, best candidate, reason Reason, now time.Time) (candidate, Reason, bool) {
	seen := best.seen
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
		seen++
		if hit.seen == 0 || c.score < hit.score {
			hit = c
			hit.seen = 1
		}
	}
	if hit.seen > 0 {
		best.seen, hit.seen = seen, seen
		if p.bounded(hit, best) {
			return hit, CacheHit, true
		}
		return best, reason, true
	}
	if c, ok := p.home(q, set, now); ok && p.bounded(c, best) {
		c.seen = seen + 1
		return c, CacheHome, true
	}
	return best, reason, true
}

// home walks the ring to the first upstream that may take the call, which other entries find as well.
func (p *Picker) home(q Query, set *Set, now time.Time) (candidate, bool) {
	at := set.home(q.Prefix)
	for step := range min(maxRingSteps, len(set.ring)) {
		i := set.ring[(at+step)%len(set.ring)].index
		if c, ok := p.eligible(q, set, i, now); ok {
			return c, true
		}
	}
	return candidate{}, false
}

func (p *Picker) bounded(c, best candidate) bool {
	return c.load <= p.opts.AffinityBound && c.score <= affinitySlack*best.score+affinitySlack
}

func (p *Picker) eligible(q Query, set *Set, i int32, now time.Time) (candidate, bool) {
	u := &set.all[i]
	if u.Excluded || u.ejected(now) || !u.serves(q.Model) || (q.Zone != "" && u.Zone != q.Zone) ||
		slices.Contains(q.Avoid, u.Name) {
		return candidate{}, false
	}
	return p.rate(set, i, now), true
}

// search looks at every upstream that is not out, avoided and ejected ones last.
func (p *Picker) search(q Query, set *Set, now time.Time) (candidate, bool) {
	var best candidate
	avoided := true
	for _, i := range set.groups[group{"", q.Model}] {
		c := p.rate(set, i, now)
		avoid := slices.Contains(q.Avoid, set.all[i].Name) || set.all[i].ejected(now)
		seen := best.seen + 1
		if best.seen == 0 || (avoided && !avoid) || (avoided == avoid && c.score < best.score) {
			best, avoided = c, avoid
		}
		best.seen = seen
	}
	return best, best.seen > 0
}

func (p *Picker) rate(set *Set, i int32, now time.Time) candidate {
	u := &set.all[i]
	load, age := u.Gauge.Estimate(now)
	score := (1 + load) * u.Gauge.Slowness(now)
	if load > 1 {
		score *= load
	}
	return candidate{index: i, score: score / p.warmth(u, now), load: load, age: age}
}

// warmth grows from a tenth to 1 over an upstream's slow start, when new or back from an ejection.
func (p *Picker) warmth(u *Upstream, now time.Time) float64 {
	since := u.SlowStartFrom
	if back, ok := u.Gauge.EjectedUntil(); ok && back.After(since) {
		since = back
	}
	if since.IsZero() {
		return 1
	}
	up := now.Sub(since)
	if up >= p.opts.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(up)/float64(p.opts.SlowStart))
}

func (p *Picker) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(n)
}
