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
	"github.com/ragworthatch/ragworthatch/internal/limit/inflow"
	"github.com/ragworthatch/ragworthatch/internal/limit/kvmem"
	"github.com/ragworthatch/ragworthatch/internal/limit/outlen"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/route/rates"
)

const (
	prefillTokensPerMs   = 45.0                  // prompt tokens that an engine reads per ms, until rates are learned
	maxBusyPeriod        = 4 * time.Second       // over which reading is measured, so that an early pause does not count for long
	prefillChunk         = 2048                  // prompt tokens that an engine reads in a step
	adoptedGrace         = 5 * time.Second       // from the deadline of an adopted request until it counts as over
	cacheGrace           = 5 * time.Second       // after which a new leader knows most of what engines have cached
	partMemory           = 10 * time.Minute      // within which a part may still be cached, though it is not relied on
	maxOverheadPart      = 0.25                  // of the time to a first token that may count as firstTokenOverhead
	missWeight           = 3                     // prefill of uncached tokens also delays other requests on the engine
	homeConfidence       = 0.5                   // fraction of the possible savings expected from the home engine's cache
	crossZoneCostPerMB   = 80 * time.Millisecond // for moving stage results between zones
	crossZoneLatency     = 4 * time.Millisecond  // round trip to another zone
	runningRequestCost   = 2 * time.Millisecond  // each running request slows token generation of the others
	fullCost             = 2 * time.Second       // requests have to wait on an engine without free memory or slots
	maxMemoryFraction    = 0.85                  // of the engine's memory that running requests may take
	cacheTTL             = 30 * time.Second      // a part unused for longer is assumed to be evicted
	slownessSmoothing    = 0.2
	uncachedSmoothing    = 0.02 // for avgUncached
	initialUncached      = 2000 // tokens
	maxSlowness          = 8.0
	slownessTolerance    = 1.35                   // slowness below is noise, which would move requests away from their cached prompts
	firstTokenOverhead   = 15 * time.Millisecond  // time to the first token of a request with an empty prompt
	zoneMargin           = 50 * time.Millisecond  // by which a zone must be better than all others to be preferred
	failuresToEject      = 2                      // in a row
	pausedCost           = 300 * time.Millisecond // for an engine that asked another entry to pause
	failureCost          = 1 * time.Second        // delay that a failed request causes for its caller
	failureRateSmoothing = 0.2
	failureRateHalfLife  = 1500 * time.Millisecond // the rate decays, so that the engine is tried again
	minFailureRate       = 0.01                    // lower rates count as 0
	minEjection          = 1 * time.Second         // doubles with each further ejection
	maxEjection          = 4 * time.Second
)

// Order is a request that needs an engine.
type Order struct {
	ID           string
	Entry        string // host that will send the request
	Pool         string
	Zone         string // availability zone of the entry
	Model        string
	Prefix       []call.PrefixBlock
	PromptTokens int
	OutputHint   int // output tokens that its caller expects; 0 if unknown
	OutputLimit  int // output tokens at most; 0 if unknown
	Deadline     time.Time
	ByZone       map[string]int64 // bytes of the stage results that it reads, by zone
	Exclude      []string         // IDs of engines that have refused or failed it
	Within       time.Duration    // longest useful time to its first token
	Version      string           // the only version of engines that it may use; empty for any
	InTime       bool             // only engines that are expected to begin it within Within
	Base         string           // using an engine of another version costs RecordTime; empty for no such cost
	RecordTime   time.Duration
	Route        string        // requests of a route have prompts of similar length
	Rank         int           // 0 is the most urgent
	Target       time.Duration // of its route, for the first token
	Gap          time.Duration // the longest pause between two events that is in time; 0 for any
	Left         time.Duration // until its target; the request is late if it is not positive
	Staged       bool          // its stages are done
}

// UniqueTokens returns the prompt tokens that no other request shares, which an engine has to read in any case.
func (o Order) UniqueTokens() int {
	tokens := o.PromptTokens
	for _, part := range o.Prefix[:max(0, len(o.Prefix)-1)] { // the last part is unique to the request
		tokens -= part.Tokens
	}
	return max(0, tokens)
}

// MaxTokens returns the tokens of the prompt and, at most, of the output, as far as the order itself says.
func (o Order) MaxTokens() int {
	return o.PromptTokens + outlen.New().Most("", o.OutputHint, o.OutputLimit)
}

// inflow returns what the bounds on waiting prompts depend on.
func (o Order) inflow() inflow.Request {
	return inflow.Request{Route: o.Route, Rank: o.Rank, Tokens: o.PromptTokens, Target: o.Target, Gap: o.Gap, Left: o.Left,
		Staged: o.Staged}
}

// runningRequest is a request that runs on an engine.
type runningRequest struct {
	born           int64         // of the engine that it was assigned to
	reservedTokens int           // memory that it is expected to take, in tokens
	pendingPrefill int           // uncached prompt tokens that are not read yet
	surelyRead     int           // prompt tokens that the engine has to read, whatever it has cached before
	expected       time.Duration // time to the first token
	started        time.Time
	adopted        bool      // another process assigned it
	until          time.Time // its deadline, if it was adopted
}

// engine is the state of one model engine.
type engine struct {
	id                  string
	pool                string
	hash                uint64  // of the engine's ID
	born                int64   // start of the engine in Unix ms; 0 if unknown
	median              float64 // of the rates of the pool's engines
	rate                float64 // at which it reads prompts, in tokens per ms
	busySince           time.Time
	busyRead            int // prompt tokens that it has surely read since busySince
	running             map[string]runningRequest
	pendingPrefill      int // prompt tokens of running requests that are not read yet
	pendingSurely       int // those of them that are not cached in any case
	reservedTokens      int
	lastUsed            map[uint64]time.Time // cached prompt parts, by prefix key
	mayHave             map[uint64]time.Time // shared parts that may be cached, with the time of their last use
	knownSince          time.Time            // all requests since then are known
	restarted           bool                 // since this process knows it, so that it had nothing cached then
	slowness            float64              // ratio of the time to the first token to its expectation, smoothed
	failureRate         float64              // fraction of recent requests that it failed, as of failureRateAt
	failureRateAt       time.Time
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	pausedUntil         map[string]time.Time // by entry; no requests of the entry until then
	lastPauseEnd        time.Time            // the latest time in pausedUntil
}

// Placer assigns requests to engines. It tracks their load, prompt caches and failures. One goroutine owns it.
type Placer struct {
	limits      *pace.Limiter[hosts.Lifetime]
	engines     map[string]*engine
	rates       map[string]*rates.Estimator[hosts.Lifetime] // by pool
	inflows     map[string]*inflow.Policy                   // by pool
	engineOf    map[string]string                           // engine ID by request ID
	memory      *kvmem.Budget
	outputs     *outlen.Estimator
	avgUncached float64 // moving average of the prompt tokens that an engine has to read for a request
}

// New returns a Placer without engines, which assigns no more requests than limits and memory allow.
func New(limits *pace.Limiter[hosts.Lifetime], memory *kvmem.Budget) *Placer {
	return &Placer{
		limits: limits, memory: memory, outputs: outlen.New(), avgUncached: initialUncached, engines: map[string]*engine{}, engineOf: map[string]string{},
		rates: map[string]*rates.Estimator[hosts.Lifetime]{}, inflows: map[string]*inflow.Policy{},
	}
}

// SetUpstreams removes engines that are gone and idle, and resets the state of engines that have restarted, except for
// their running requests.
func (p *Placer) SetUpstreams(t *hosts.Table) {
	for id, e := range p.engines {
		u, known := t.Get(id)
		switch {
		case !known && len(e.running) == 0:
			delete(p.engines, id)
		case known && e.born != u.StartedMs:
			p.engines[id] = &engine{
				id: id, pool: e.pool, hash: e.hash, born: u.StartedMs, running: e.running, pendingPrefill: e.pendingPrefill, pendingSurely: e.pendingSurely,
				reservedTokens: e.reservedTokens, restarted: true, lastUsed: map[uint64]time.Time{}, mayHave: map[uint64]time.Time{}, slowness: 1,
				rate: prefillTokensPerMs}
		}
	}
	for _, r := range p.rates {
		r.Retain(func(l hosts.Lifetime) bool {
			u, known := t.Get(l.ID)
			return known && u.Lifetime() == l
		})
	}
}

// Ready returns the engines that an order may use and that accept new work, sorted by ID.
func (o Order) Ready(t *hosts.Table) []hosts.Upstream {
	ready := t.Ready(o.Pool)
	if o.Version == "" {
		return ready
	}
	return slices.DeleteFunc(slices.Clone(ready), func(u hosts.Upstream) bool { return u.Version != o.Version })
}

// Pick assigns a request to the engine with the lowest cost. It returns false if no engine is ready, or if each has
// paused the request's entry, accepts no more requests for now, or has too many prompts to read; see Crowded. While some
// name limits, the others get only what they are expected to begin in time.
func (p *Placer) Pick(o Order, t *hosts.Table, spec rule.Engine, now time.Time) (hosts.Upstream, bool) {
	p.Ended(o.ID)
	keys := prefixKeys(o)
	p.observe(o, now)
	s := p.newSelection(o, keys, t, spec, now)
	for _, lastResort := range []bool{false, true} { // the second pass admits ejected and excluded engines
		for _, u := range o.Ready(t) {
			e := p.current(u, now)
			if now.Before(e.pausedUntil[o.Entry]) || p.limits.Wait(u.Lifetime()) > 0 {
				continue
			}
			if !lastResort && (now.Before(e.ejectedUntil) || slices.Contains(o.Exclude, u.ID)) {
				continue
			}
			s.offer(u, e)
		}
		if s.found || (s.bounded && s.offered > 0) {
			break
		}
	}
	if !s.found && s.spareFound && s.policy.TakeFloor(o.inflow(), s.spareTokens, p.poolRate(o, t, now), now) {
		s.best, s.found = s.spare, true
	}
	if !s.found {
		return s.best, false
	}
	p.limits.Spend(s.best.Lifetime()) // also if another request has been counted since Wait
	p.assign(o, keys, s.best, now)
	return s.best, true
}

// poolRate returns the rate at which all engines that an order may use read prompts, in tokens per ms.
func (p *Placer) poolRate(o Order, t *hosts.Table, now time.Time) float64 {
	sum := 0.0
	for _, u := range o.Ready(t) {
		sum += p.current(u, now).rate
	}
	return sum
}

// isLimited reports whether an engine that an order may use has named a limit. The others may then get more than they can
// begin in time.
func (p *Placer) isLimited(o Order, t *hosts.Table) bool {
	return p.limits.Limited() > 0 &&
		slices.ContainsFunc(o.Ready(t), func(u hosts.Upstream) bool { return p.limits.IsLimited(u.Lifetime()) })
}

// Capacity returns the number of requests that the engines which an order may use are expected to begin within d, and the
// time until one of them accepts a request. It is known only while one of them has named a limit.
func (p *Placer) Capacity(
	o Order, t *hosts.Table, d time.Duration, now time.Time) (requests float64, wait time.Duration, known bool) {
	wait = d
	for _, u := range o.Ready(t) {
		e := p.current(u, now)
		n, limited := p.limits.Capacity(u.Lifetime(), d)
		switch {
		case limited:
			known = true
			requests += n
			wait = min(wait, p.limits.Wait(u.Lifetime()))
		case now.Before(e.ejectedUntil):
			wait = min(wait, e.ejectedUntil.Sub(now))
		default:
			next := e.startTime(max(1, int(p.avgUncached)))
			requests += float64(max(0, d-e.startTime(0))) / float64(next-e.startTime(0))
			wait = min(wait, max(0, next-d))
		}
	}
	return requests, wait, known
}

// startTime returns the expected time until the engine has read its pending prompts and so many more tokens.
func (e *engine) startTime(tokens int) time.Duration { return e.readTime(e.pendingPrefill + tokens) }

// readTime returns the expected time from now to the first token after so many prompt tokens.
func (e *engine) readTime(tokens int) time.Duration {
	return time.Duration(e.slowdown() * float64(e.prefillTime(tokens)+firstTokenOverhead))
}

// knowsCache reports whether the leader has seen enough requests of the engine to know most of what it has cached.
func (e *engine) knowsCache(now time.Time) bool {
	return e.restarted || now.Sub(e.knownSince) >= cacheGrace
}

// slowdown returns the factor by which the engine is slower now than its rate says.
func (e *engine) slowdown() float64 { return max(1, e.slowness/slownessTolerance) }

// Pause keeps requests of an entry from an engine until the given time.
func (p *Placer) Pause(u hosts.Upstream, entry string, until time.Time) {
	e := p.engine(u)
	if e.pausedUntil == nil {
		e.pausedUntil = map[string]time.Time{}
	}
	if until.After(e.pausedUntil[entry]) {
		e.pausedUntil[entry] = until
	}
	if until.After(e.lastPauseEnd) {
		e.lastPauseEnd = until
	}
}

// PauseLeft returns the time until one of the engines accepts requests of the order's entry again, if all have paused
// them. paused is false if an engine accepts them now, or none is ready.
func (p *Placer) PauseLeft(o Order, t *hosts.Table, now time.Time) (opens time.Duration, paused bool) {
	for _, u := range o.Ready(t) {
		e := p.engines[u.ID]
		if e == nil || !now.Before(e.pausedUntil[o.Entry]) {
			return 0, false
		}
		if d := e.pausedUntil[o.Entry].Sub(now); !paused || d < opens {
			opens, paused = d, true
		}
	}
	return opens, paused
}

// PreferredZone returns the availability zone of the best engine for a request, which is where the results of its
// stages should be produced. It is empty unless that zone is better than all others by zoneMargin.
func (p *Placer) PreferredZone(o Order, t *hosts.Table, spec rule.Engine, now time.Time) string {
	minCost := map[string]time.Duration{}
	keys := prefixKeys(o)
	home := p.homeEngine(o, keys, t, now)
	o.ByZone = nil
	for _, u := range o.Ready(t) {
		e := p.current(u, now)
		if now.Before(e.ejectedUntil) {
			continue
		}
		cost := e.cost(o, keys, u, spec, now)
		if u.ID == home {
			cost -= e.homeDiscount(o)
		}
		if lowest, ok := minCost[u.Zone]; !ok || cost < lowest {
			minCost[u.Zone] = cost
		}
	}
	best := ""
	for zone, cost := range minCost {
		if best == "" || cost < minCost[best] || (cost == minCost[best] && zone < best) {
			best = zone
		}
	}
	for zone, cost := range minCost {
		if zone != best && cost < minCost[best]+zoneMargin {
			return ""
		}
	}
	return best
}

// homeEngine returns the engine to use for the shared parts of a prompt if no engine is known to have cached them. It
// is chosen by rendezvous hashing of engine ID and parts, so that every leader chooses the same one and finds the cache
// that an earlier leader filled. A single shared part is cached on many engines and needs no home.
func (p *Placer) homeEngine(o Order, keys []uint64, t *hosts.Table, now time.Time) string {
	shared := len(keys) - 1 // the last part is unique to the request
	if shared < 2 {
		return ""
	}
	key := keys[shared-1]
	best, bestScore := "", uint64(0)
	for _, u := range o.Ready(t) {
		e := p.engine(u)
		if used, has := e.lastUsed[key]; has && now.Sub(used) <= cacheTTL {
			return ""
		}
		if score := mix(key ^ e.hash); !now.Before(e.ejectedUntil) && (best == "" || score > bestScore) {
			best, bestScore = u.ID, score
		}
	}
	return best
}

// homeDiscount returns the expected savings from reading the shared parts of a prompt on their home engine, which may
// have cached them.
func (e *engine) homeDiscount(o Order) time.Duration {
	tokens := 0
	for _, part := range o.Prefix[:len(o.Prefix)-1] {
		tokens += part.Tokens
	}
	return time.Duration(homeConfidence * missWeight * float64(e.prefillTime(tokens)))
}

// mix is the finalizer of MurmurHash3, which spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (p *Placer) engine(u hosts.Upstream) *engine {
	e := p.engines[u.ID]
	if e == nil {
		e = &engine{
			id: u.ID, pool: u.Pool, hash: xxhash.Sum64String(u.ID), born: u.StartedMs, running: map[string]runningRequest{},
			lastUsed: map[uint64]time.Time{}, mayHave: map[uint64]time.Time{}, slowness: 1,
			rate: prefillTokensPerMs}
		p.engines[u.ID] = e
	}
	return e
}

// current returns the state of an engine with the rate at which it is expected to read now.
func (p *Placer) current(u hosts.Upstream, now time.Time) *engine {
	e := p.engine(u)
	e.median = p.ratesOf(u.Pool).Median(now)
	if e.knownSince.IsZero() && !e.restarted {
		e.knownSince = now
	}
	if rate := p.ratesOf(u.Pool).Rate(e.lifetime(), now); rate != e.rate {
		e.slowness = min(maxSlowness, max(0.5, e.slowness*rate/e.rate)) // the ratio to what is expected now
		e.rate = rate
	}
	return e
}

func (p *Placer) ratesOf(pool string) *rates.Estimator[hosts.Lifetime] {
	r := p.rates[pool]
	if r == nil {
		r = rates.New[hosts.Lifetime](prefillTokensPerMs)
		p.rates[pool] = r
	}
	return r
}

func (e *engine) lifetime() hosts.Lifetime { return hosts.Lifetime{ID: e.id, StartedMs: e.born} }

// observeRate learns the engine's rate from a request whose first event came now: it has read the prompts whose first
// events came since it was busy. The first of them may have been read in part before.
func (p *Placer) observeRate(e *engine, req runningRequest, now time.Time) {
	e.busyRead += req.surelyRead
	took := now.Sub(e.busySince)
	took -= min(firstTokenOverhead, time.Duration(maxOverheadPart*float64(took)))
	p.ratesOf(e.pool).Observe(e.lifetime(), e.busyRead, took, now)
	if now.Sub(e.busySince) > maxBusyPeriod {
		e.busySince, e.busyRead = now, -prefillChunk
	}
}

// assign counts a request as running on an engine, which will have its prompt cached.
func (p *Placer) assign(o Order, keys []uint64, u hosts.Upstream, now time.Time) {
	e := p.current(u, now)
	uncached := o.PromptTokens - e.cachedTokens(o, keys, now)
	if e.pendingPrefill == 0 {
		e.busySince, e.busyRead = now, 0
	}
	req := runningRequest{
		born: e.born, pendingPrefill: uncached, started: now,
		reservedTokens: o.PromptTokens + p.outputs.Expected(o.Route, o.OutputHint, o.OutputLimit),
		surelyRead:     e.surelyUncached(o, keys, now),
		expected:       e.prefillTime(e.pendingPrefill+uncached) + firstTokenOverhead,
	}
	p.avgUncached += uncachedSmoothing * (float64(uncached) - p.avgUncached)
	e.running[o.ID] = req
	e.pendingPrefill += req.pendingPrefill
	e.pendingSurely += req.surelyRead
	e.reservedTokens += req.reservedTokens
	for i, k := range keys {
		e.lastUsed[k] = now
		if i < len(keys)-1 {
			e.mayHave[k] = now
		}
	}
	p.engineOf[o.ID] = u.ID
	p.memory.Reserve(kvmem.Request{ID: o.ID, Owner: o.Entry, Engine: u.ID, Tokens: p.tokensOf(o), Until: o.Deadline})
}

// tokensOf returns the tokens of an order's prompt and, at most, of its output.
func (p *Placer) tokensOf(o Order) int {
	return o.PromptTokens + p.outputs.Most(o.Route, o.OutputHint, o.OutputLimit)
}

// Run is a request that an entry has sent to an engine by the decision of another process.
type Run struct {
	ID     string
	Pool   string
	Engine string    // ID
	Tokens int       // of its prompt and, at most, of its output
	Unread int       // prompt tokens that are not read yet
	Until  time.Time // its deadline
}

// Adopt counts requests of an entry that run on engines. With whole, these are all that it has, which ends what was
// reserved for it while it was out of touch.
func (p *Placer) Adopt(entry string, runs []Run, whole bool, t *hosts.Table, now time.Time) {
	if whole {
		p.memory.Reported(entry)
	}
	for _, r := range runs {
		p.memory.Reserve(kvmem.Request{ID: r.ID, Owner: entry, Engine: r.Engine, Tokens: r.Tokens, Until: r.Until})
		u, listed := t.Get(r.Engine)
		if _, known := p.engineOf[r.ID]; known || !listed {
			continue
		}
		e := p.current(u, now)
		if e.pendingPrefill == 0 {
			e.busySince, e.busyRead = now, 0
		}
		e.running[r.ID] = runningRequest{
			born: e.born, reservedTokens: r.Tokens, pendingPrefill: r.Unread, surelyRead: r.Unread, started: now,
			expected: e.prefillTime(e.pendingPrefill+r.Unread) + firstTokenOverhead, adopted: true, until: r.Until,
		}
		e.pendingPrefill += r.Unread
		e.pendingSurely += r.Unread
		e.reservedTokens += r.Tokens
		p.engineOf[r.ID] = r.Engine
	}
}

// Abandon keeps the memory of a request of an entry that is out of touch, in which it may run on.
func (p *Placer) Abandon(id string) { p.memory.Abandon(id) }

// surelyUncached returns the number of prompt tokens that the engine has to read in any case. Shared parts may be cached
// if requests with them were sent there long ago, or by an earlier leader.
func (e *engine) surelyUncached(o Order, keys []uint64, now time.Time) int {
	tokens := o.PromptTokens - e.cachedTokens(o, keys, now)
	for i, k := range keys[:max(0, len(keys)-1)] { // the last part is unique to the request
		used, mayHave := e.mayHave[k]
		if last, has := e.lastUsed[k]; has && now.Sub(last) <= cacheTTL {
			continue
		}
		if now.Sub(e.knownSince) < partMemory || (mayHave && now.Sub(used) < partMemory) {
			tokens -= o.Prefix[i].Tokens
		}
	}
	return max(0, tokens)
}

// FirstByte records that the engine has read the prompt of a request.
func (p *Placer) FirstByte(id string, now time.Time) {
	e := p.engines[p.engineOf[id]]
	if e == nil {
		return
	}
	req, running := e.running[id]
	if !running || req.born != e.born {
		return // it says nothing of the present lifetime
	}
	if req.adopted {
		e.endPrefill(id)
		return // it is not known when it began
	}
	ratio := min(maxSlowness, max(0.5, float64(now.Sub(req.started))/float64(req.expected)))
	e.slowness += slownessSmoothing * (ratio - e.slowness)
	e.consecutiveFailures, e.ejectionTime = 0, 0
	e.recordOutcome(0, now)
	p.observeRate(e, req, now)
	e.endPrefill(id)
}

// endPrefill records that the engine has read the prompt of a request.
func (e *engine) endPrefill(id string) {
	req := e.running[id]
	e.pendingPrefill -= req.pendingPrefill
	e.pendingSurely -= req.surelyRead
	req.pendingPrefill, req.surelyRead = 0, 0
	e.running[id] = req
}

// Ended removes a request from its engine.
func (p *Placer) Ended(id string) {
	p.memory.Release(id)
	e := p.engines[p.engineOf[id]]
	delete(p.engineOf, id)
	if e == nil {
		return
	}
	req := e.running[id]
	delete(e.running, id)
	e.pendingPrefill -= req.pendingPrefill
	e.pendingSurely -= req.surelyRead
	e.reservedTokens -= req.reservedTokens
}

// EngineFailed records that an engine failed a request. After failuresToEject failures in a row it ejects the engine
// and returns for how long, otherwise it returns 0. An engine that has restarted since it got the request is not blamed.
func (p *Placer) EngineFailed(u hosts.Upstream, request string, now time.Time) (ejected time.Duration) {
	e := p.engine(u)
	if req, running := e.running[request]; running && req.born != e.born {
		return 0
	}
	if now.Before(e.ejectedUntil) {
		return 0
	}
	e.recordOutcome(1, now)
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToEject {
		return 0
	}
	e.ejectionTime = min(maxEjection, max(minEjection, 2*e.ejectionTime))
	e.ejectedUntil = now.Add(e.ejectionTime)
	clear(e.lastUsed)
	return e.ejectionTime
}

// TimeToFirstToken returns the expected time to the first token on the fastest engine.
func (p *Placer) TimeToFirstToken(o Order, t *hosts.Table, now time.Time) time.Duration {
	var best time.Duration
	keys := prefixKeys(o)
	for i, u := range o.Ready(t) {
		e := p.current(u, now)
		expected := firstTokenOverhead + e.prefillTime(e.pendingPrefill+o.PromptTokens-e.cachedTokens(o, keys, now))
		if i == 0 || expected < best {
			best = expected
		}
	}
	return best
}

// currentFailureRate returns the fraction of requests that the engine is expected to fail now.
func (e *engine) currentFailureRate(now time.Time) float64 {
	risk := e.failureRate * math.Exp2(-float64(now.Sub(e.failureRateAt))/float64(failureRateHalfLife))
	if risk < minFailureRate {
		return 0
	}
	return risk
}

// recordOutcome updates the failure rate with a request that the engine failed (1) or began to answer (0).
func (e *engine) recordOutcome(failed float64, now time.Time) {
	risk := e.currentFailureRate(now)
	e.failureRate, e.failureRateAt = risk+failureRateSmoothing*(failed-risk), now
}

// prefillTime returns the time that an engine needs to read a number of prompt tokens.
func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.rate * float64(time.Millisecond))
}

// usualPrefillTime returns the time that a usual engine of the pool, or this one if it is slower, needs to read a number
// of prompt tokens. Fast engines are not to read again what others have cached.
func (e *engine) usualPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / min(e.rate, e.median) * float64(time.Millisecond))
}

// cost returns the delay that the engine would cause for the request and for others.
func (e *engine) cost(o Order, keys []uint64, u hosts.Upstream, spec rule.Engine, now time.Time) time.Duration {
	uncached := o.PromptTokens - e.cachedTokens(o, keys, now)
	cost := e.prefillTime(e.pendingPrefill) + time.Duration(missWeight*float64(e.usualPrefillTime(uncached)))
	cost += time.Duration(len(e.running)) * runningRequestCost
	cost = time.Duration(e.slowdown() * float64(cost))
	cost += time.Duration(e.currentFailureRate(now) * float64(failureCost))
	if now.Before(e.lastPauseEnd) {
		cost += pausedCost
	}
	if u.Zone != o.Zone {
		cost += crossZoneLatency
	}
	if o.Base != "" && u.Version != o.Base {
		cost += o.RecordTime
	}
	for zone, bytes := range o.ByZone {
		if zone != u.Zone {
			cost += time.Duration(float64(bytes) / 1e6 * float64(crossZoneCostPerMB))
		}
	}
	if spec.Tokens > 0 && e.reservedTokens+o.PromptTokens > int(maxMemoryFraction*float64(spec.Tokens)) {
		cost += fullCost
	}
	if spec.Slots > 0 && len(e.running) >= spec.Slots {
		cost += fullCost
	}
	return cost
}

// cachedTokens returns how many tokens at the beginning of the prompt the engine is expected to have cached.
func (e *engine) cachedTokens(o Order, keys []uint64, now time.Time) int {
	tokens := 0
	for i, k := range keys {
		used, ok := e.lastUsed[k]
		if !ok || now.Sub(used) > cacheTTL {
			break
		}
		tokens += o.Prefix[i].Tokens
	}
	return min(tokens, o.PromptTokens)
}

// prefixKeys hashes each part of the prompt together with all parts before it, because a cached part is only usable
// behind the same parts.
func prefixKeys(o Order) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(o.Model)
	keys := make([]uint64, len(o.Prefix))
	for i, part := range o.Prefix {
		_, _ = d.WriteString("/" + part.ID)
		keys[i] = d.Sum64()
	}
	return keys
}

// Sweep removes what has expired: cached parts, pauses, and memory kept for entries that are out of touch.
func (p *Placer) Sweep(now time.Time) {
	p.memory.Sweep()
	p.endOverdue(now)
	p.outputs.Sweep(now)
	for _, e := range p.engines {
		maps.DeleteFunc(e.mayHave, func(_ uint64, used time.Time) bool { return now.Sub(used) > partMemory })
		maps.DeleteFunc(e.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
		for k, used := range e.lastUsed {
			if now.Sub(used) > cacheTTL {
				delete(e.lastUsed, k)
			}
		}
	}
}

// endOverdue ends adopted requests whose deadline has passed for adoptedGrace: their end may have come before the message
// that told of them.
func (p *Placer) endOverdue(now time.Time) {
	for _, e := range p.engines {
		for id, req := range e.running {
			if req.adopted && now.Sub(req.until) > adoptedGrace {
				p.Ended(id)
			}
		}
	}
}

// Loads returns the load of all engines, sorted by ID.
func (p *Placer) Loads() []Load {
	out := make([]Load, 0, len(p.engines))
	reserved := p.memory.Reserved()
	for id, e := range p.engines {
		out = append(out, Load{ID: id, Pool: e.pool, Running: len(e.running), Tokens: e.reservedTokens, Slowness: e.slowness,
			Rate: e.rate, Backlog: e.startTime(0) - firstTokenOverhead, Reserved: reserved[id]})
	}
	slices.SortFunc(out, func(a, b Load) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Load is the load of one engine.
type Load struct {
	ID       string
	Pool     string
	Running  int
	Tokens   int // of memory that its requests are expected to take
	Slowness float64
	Rate     float64       // at which it is expected to read prompts, in tokens per ms
	Backlog  time.Duration // expected time to read the prompts that wait
	Reserved int           // tokens of memory that its requests take at most
}
