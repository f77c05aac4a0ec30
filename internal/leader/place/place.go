package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

const (
	prefillRate     = 45.0                  // prompt tokens an engine reads in a ms; the engines of the sheets read 44 to 51
	missWeight      = 3                     // reading a cached part again also costs other requests
	homeTrust       = 0.5                   // part of what a prompt's shared parts would save if their home has them
	crossCostPerMB  = 80 * time.Millisecond // what moving results between zones is worth avoiding
	farZoneCost     = 4 * time.Millisecond  // a round trip to another zone
	runCost         = 2 * time.Millisecond  // each running request slows the tokens of the others
	fullCost        = 2 * time.Second       // an engine without memory makes requests wait
	fullPart        = 0.85                  // of the memory that running requests may take
	cacheFor        = 30 * time.Second      // a part that was not used for longer is taken as evicted
	speedSmoothing  = 0.2
	maxSpeed        = 8.0
	firstByteBase   = 15 * time.Millisecond // from sending a request without a prompt to its first token
	zoneMargin      = 50 * time.Millisecond // by which a zone must be better to be preferred
	failuresToEject = 2
	pausedCost      = 300 * time.Millisecond  // of an engine that turned another entry's request away
	riskCost        = 1 * time.Second         // what a failed request costs its caller
	riskSmoothing   = 0.2                     // of the share of requests that an engine fails
	riskHalfLife    = 1500 * time.Millisecond // in which that share counts half, so that the engine is tried again
	leastRisk       = 0.01                    // below which an engine is as good as others
	firstEjection   = 1 * time.Second
	longestEjection = 4 * time.Second
)

// Order is a request that needs an engine.
type Order struct {
	ID           string
	Entry        string // host that will send it
	Pool         string
	Zone         string // of the entry that will send it
	Model        string
	Prefix       []call.PrefixBlock
	PromptTokens int
	OutputTokens int // expected
	ByZone       map[string]int64
	Exclude      []string // upstreams that have refused or failed it
}

// run is a request on an engine.
type run struct {
	tokens   int // memory it is expected to take
	prefill  int // prompt tokens not read yet
	expected time.Duration
	begun    time.Time
}

// engine is one model engine.
type engine struct {
	hash     uint64 // of its ID
	born     int64  // Unix ms of its start; 0 when not known
	runs     map[string]run
	prefill  int
	tokens   int
	cached   map[uint64]time.Time
	speed    float64 // time to the first token over its expectation, smoothed
	risk     float64 // share of requests that it failed lately, at riskAt
	riskAt   time.Time
	failures int
	ejected  time.Duration
	until    time.Time
	paused   map[string]time.Time // until then it wants nothing from an entry
	pausedTo time.Time            // the latest of them
}

// Placer holds what is known of the engines; it is owned by one goroutine.
type Placer struct {
	engines map[string]*engine
	where   map[string]string // engine of each request
}

// New returns a placer that knows nothing yet.
func New() *Placer {
	return &Placer{engines: map[string]*engine{}, where: map[string]string{}}
}

// SetUpstreams forgets engines that are gone and run nothing, and what is known of those that have started anew.
func (p *Placer) SetUpstreams(t *hosts.Table) {
	for id, e := range p.engines {
		u, known := t.Get(id)
		switch {
		case !known && len(e.runs) == 0:
			delete(p.engines, id)
		case known && e.born != 0 && e.born != u.StartedMs:
			p.engines[id] = &engine{hash: e.hash, born: u.StartedMs, runs: e.runs, prefill: e.prefill, tokens: e.tokens, cached: map[uint64]time.Time{}, speed: 1}
		case known:
			e.born = u.StartedMs
		}
	}
}

// Pick chooses an engine and counts the request there; false when none takes work.
func (p *Placer) Pick(o Order, t *hosts.Table, spec rule.Engine, now time.Time) (hosts.Upstream, bool) {
	p.Ended(o.ID)
	var best hosts.Upstream
	var bestCost time.Duration
	found := false
	keys := chain(o)
	home := p.home(o, keys, t, now)
	for _, pass := range []bool{false, true} { // the second pass takes ejected and excluded engines too
		for _, u := range t.Ready(o.Pool) {
			e := p.engine(u.ID)
			if now.Before(e.paused[o.Entry]) {
				continue
			}
			if !pass && (now.Before(e.until) || slices.Contains(o.Exclude, u.ID)) {
				continue
			}
			cost := e.cost(o, keys, u, spec, now)
			if u.ID == home {
				cost -= e.homeWorth(o)
			}
			if !found || cost < bestCost {
				best, bestCost, found = u, cost, true
			}
		}
		if found {
			break
		}
	}
	if !found {
		return best, false
	}
	p.begin(o, keys, best.ID, now)
	return best, true
}

// Pause keeps the requests of an entry from an engine until a time.
func (p *Placer) Pause(id, entry string, until time.Time) {
	e := p.engine(id)
	if e.paused == nil {
		e.paused = map[string]time.Time{}
	}
	if until.After(e.paused[entry]) {
		e.paused[entry] = until
	}
	if until.After(e.pausedTo) {
		e.pausedTo = until
	}
}

// Opens is the time until the first engine may get a request, if none may now as all want nothing from its entry.
func (p *Placer) Opens(o Order, t *hosts.Table, now time.Time) (opens time.Duration, paused bool) {
	for _, u := range t.Ready(o.Pool) {
		e := p.engines[u.ID]
		if e == nil || !now.Before(e.paused[o.Entry]) {
			return 0, false
		}
		if d := e.paused[o.Entry].Sub(now); !paused || d < opens {
			opens, paused = d, true
		}
	}
	return opens, paused
}

// Zone is the availability zone of the engine that suits a request best, if those of other zones suit it clearly less; the
// request's results are best made there.
func (p *Placer) Zone(o Order, t *hosts.Table, spec rule.Engine, now time.Time) string {
	least := map[string]time.Duration{}
	keys := chain(o)
	home := p.home(o, keys, t, now)
	o.ByZone = nil
	for _, u := range t.Ready(o.Pool) {
		e := p.engine(u.ID)
		if now.Before(e.until) {
			continue
		}
		cost := e.cost(o, keys, u, spec, now)
		if u.ID == home {
			cost -= e.homeWorth(o)
		}
		if known, ok := least[u.Zone]; !ok || cost < known {
			least[u.Zone] = cost
		}
	}
	best := ""
	for zone, cost := range least {
		if best == "" || cost < least[best] || (cost == least[best] && zone < best) {
			best = zone
		}
	}
	for zone, cost := range least {
		if zone != best && cost < least[best]+zoneMargin {
			return ""
		}
	}
	return best
}

// home is the engine that another leader would have chosen for the shared parts of a prompt, if none is known here to have
// them: the one whose ID and parts hash highest. A single shared part is on many engines, so it needs none.
func (p *Placer) home(o Order, keys []uint64, t *hosts.Table, now time.Time) string {
	shared := len(keys) - 1 // the last part belongs to the request
	if shared < 2 {
		return ""
	}
	key := keys[shared-1]
	best, highest := "", uint64(0)
	for _, u := range t.Ready(o.Pool) {
		e := p.engine(u.ID)
		if used, has := e.cached[key]; has && now.Sub(used) <= cacheFor {
			return ""
		}
		if weight := mix(key ^ e.hash); !now.Before(e.until) && (best == "" || weight > highest) {
			best, highest = u.ID, weight
		}
	}
	return best
}

// homeWorth is what it may save to read the shared parts of a prompt at their home, which may have them.
func (e *engine) homeWorth(o Order) time.Duration {
	tokens := 0
	for _, part := range o.Prefix[:len(o.Prefix)-1] {
		tokens += part.Tokens
	}
	return time.Duration(homeTrust * missWeight * float64(e.readTime(tokens)))
}

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (p *Placer) engine(id string) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{hash: xxhash.Sum64String(id), runs: map[string]run{}, cached: map[uint64]time.Time{}, speed: 1}
		p.engines[id] = e
	}
	return e
}

func (p *Placer) begin(o Order, keys []uint64, id string, now time.Time) {
	e := p.engine(id)
	missing := o.PromptTokens - e.hit(o, keys, now)
	r := run{
		tokens: o.PromptTokens + o.OutputTokens, prefill: missing, begun: now,
		expected: e.readTime(e.prefill+missing) + firstByteBase,
	}
	e.runs[o.ID] = r
	e.prefill += r.prefill
	e.tokens += r.tokens
	for _, k := range keys {
		e.cached[k] = now
	}
	p.where[o.ID] = id
}

// FirstByte notes that the engine has read the prompt of a request.
func (p *Placer) FirstByte(id string, now time.Time) {
	e := p.engines[p.where[id]]
	if e == nil {
		return
	}
	r := e.runs[id]
	ratio := min(maxSpeed, max(0.5, float64(now.Sub(r.begun))/float64(r.expected)))
	e.speed += speedSmoothing * (ratio - e.speed)
	e.failures, e.ejected = 0, 0
	e.noteOutcome(0, now)
	e.prefill -= r.prefill
	r.prefill = 0
	e.runs[id] = r
}

// Ended takes a request off its engine.
func (p *Placer) Ended(id string) {
	e := p.engines[p.where[id]]
	delete(p.where, id)
	if e == nil {
		return
	}
	r := e.runs[id]
	delete(e.runs, id)
	e.prefill -= r.prefill
	e.tokens -= r.tokens
}

// Failed notes that an engine failed a request, and ejects it for a while if it goes on.
func (p *Placer) Failed(engineID string, now time.Time) (ejected time.Duration) {
	e := p.engine(engineID)
	if now.Before(e.until) {
		return 0
	}
	e.noteOutcome(1, now)
	e.failures++
	if e.failures < failuresToEject {
		return 0
	}
	e.ejected = min(longestEjection, max(firstEjection, 2*e.ejected))
	e.until = now.Add(e.ejected)
	clear(e.cached)
	return e.ejected
}

// FinalStep is the time to the first token that the best engine is expected to need.
func (p *Placer) FinalStep(o Order, t *hosts.Table, now time.Time) time.Duration {
	var best time.Duration
	keys := chain(o)
	for i, u := range t.Ready(o.Pool) {
		e := p.engine(u.ID)
		need := firstByteBase + e.readTime(e.prefill+o.PromptTokens-e.hit(o, keys, now))
		if i == 0 || need < best {
			best = need
		}
	}
	return best
}

// riskNow is the share of requests that the engine is expected to fail.
func (e *engine) riskNow(now time.Time) float64 {
	risk := e.risk * math.Exp2(-float64(now.Sub(e.riskAt))/float64(riskHalfLife))
	if risk < leastRisk {
		return 0
	}
	return risk
}

// noteOutcome counts a request that the engine failed, 1, or began to answer, 0.
func (e *engine) noteOutcome(failed float64, now time.Time) {
	risk := e.riskNow(now)
	e.risk, e.riskAt = risk+riskSmoothing*(failed-risk), now
}

// readTime is how long an engine reads a number of prompt tokens.
func (e *engine) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

// cost is how much an engine would delay the request and others, in time.
func (e *engine) cost(o Order, keys []uint64, u hosts.Upstream, spec rule.Engine, now time.Time) time.Duration {
	missing := o.PromptTokens - e.hit(o, keys, now)
	cost := e.readTime(e.prefill) + time.Duration(missWeight*float64(e.readTime(missing)))
	cost += time.Duration(len(e.runs)) * runCost
	cost = time.Duration(max(1, e.speed) * float64(cost))
	cost += time.Duration(e.riskNow(now) * float64(riskCost))
	if now.Before(e.pausedTo) {
		cost += pausedCost
	}
	if u.Zone != o.Zone {
		cost += farZoneCost
	}
	for zone, bytes := range o.ByZone {
		if zone != u.Zone {
			cost += time.Duration(float64(bytes) / 1e6 * float64(crossCostPerMB))
		}
	}
	if spec.Tokens > 0 && e.tokens+o.PromptTokens > int(fullPart*float64(spec.Tokens)) {
		cost += fullCost
	}
	if spec.Slots > 0 && len(e.runs) >= spec.Slots {
		cost += fullCost
	}
	return cost
}

// hit is how many tokens of the prompt's beginning the engine is expected to have.
func (e *engine) hit(o Order, keys []uint64, now time.Time) int {
	tokens := 0
	for i, k := range keys {
		used, ok := e.cached[k]
		if !ok || now.Sub(used) > cacheFor {
			break
		}
		tokens += o.Prefix[i].Tokens
	}
	return min(tokens, o.PromptTokens)
}

// chain hashes each part of the prompt together with all parts before it, as a part is of use only behind those.
func chain(o Order) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(o.Model)
	keys := make([]uint64, len(o.Prefix))
	for i, part := range o.Prefix {
		_, _ = d.WriteString("/" + part.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// Sweep forgets cached parts that were not used for long.
func (p *Placer) Sweep(now time.Time) {
	for _, e := range p.engines {
		maps.DeleteFunc(e.paused, func(_ string, until time.Time) bool { return !now.Before(until) })
		for k, used := range e.cached {
			if now.Sub(used) > cacheFor {
				delete(e.cached, k)
			}
		}
	}
}

// Loads lists the engines by their load, for reports.
func (p *Placer) Loads() []Load {
	out := make([]Load, 0, len(p.engines))
	for id, e := range p.engines {
		out = append(out, Load{ID: id, Running: len(e.runs), Tokens: e.tokens, Speed: e.speed})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Load is what is known of one engine.
type Load struct {
	ID      string
	Running int
	Tokens  int
	Speed   float64
}
