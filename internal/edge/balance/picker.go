package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const (
	initialLatency  = 40 * time.Millisecond // assumed of an upstream before its first answer
	sampleWeight    = 0.2                   // of the newest sample in the moving averages
	crossZoneCost   = 4 * time.Millisecond  // a round trip to another zone
	failuresToEject = 2                     // calls in a row without an answer
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	errorCost       = 300 * time.Millisecond // delay that counts as the cost of a failed answer
)

// upstreamState is what was measured of one upstream.
type upstreamState struct {
	inFlight      int
	latency       time.Duration
	errorRate     float64       // moving average, 0 to 1, of the answers that were errors
	failuresInRow int           // calls without an answer
	ejection      time.Duration // length of the last ejection; doubles until the upstream answers
	ejectedUntil  time.Time
}

// Picker picks upstreams by their measured latency, errors and calls in flight; it is safe for concurrent use.
type Picker struct {
	now        func() time.Time
	mu         sync.Mutex
	byLifetime map[hosts.Lifetime]*upstreamState
}

// New returns a picker without measurements.
func New(now func() time.Time) *Picker {
	return &Picker{now: now, byLifetime: map[hosts.Lifetime]*upstreamState{}}
}

// Pick returns the upstream with the lowest expected delay, as seen from a zone, and counts a call in flight there.
// Ejected upstreams and those already tried are picked only if there is no other; with excludeTried, the tried ones are
// never picked.
func (p *Picker) Pick(
	candidates []hosts.Upstream, zone string, tried []string, excludeTried bool) (hosts.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var best hosts.Upstream
	var bestCost time.Duration
	found := false
	for _, relaxed := range []bool{false, true} {
		for _, u := range candidates {
			s := p.state(u.Lifetime())
			excluded := slices.Contains(tried, u.ID)
			if (excluded && (excludeTried || !relaxed)) || (!relaxed && now.Before(s.ejectedUntil)) {
				continue
			}
			cost := s.candidate(u, zone, now).Cost
			if !found || cost < bestCost {
				best, bestCost, found = u, cost, true
			}
		}
		if found {
			break
		}
	}
	if found {
		p.state(best.Lifetime()).inFlight++
	}
	return best, found
}

// state returns the measurements of a lifetime, which begin with initialLatency. The caller holds mu.
func (p *Picker) state(l hosts.Lifetime) *upstreamState {
	s := p.byLifetime[l]
	if s == nil {
		s = &upstreamState{latency: initialLatency}
		p.byLifetime[l] = s
	}
	return s
}

// Answered records an answer and its latency; ok says whether it was a success.
func (p *Picker) Answered(l hosts.Lifetime, took time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(l)
	s.inFlight--
	s.failuresInRow, s.ejection = 0, 0
	s.latency += time.Duration(sampleWeight * float64(took-s.latency))
	failed := 0.0
	if !ok {
		failed = 1
	}
	s.errorRate += sampleWeight * (failed - s.errorRate)
}

// Dropped records the end of a call that says nothing about the health of the upstream.
func (p *Picker) Dropped(l hosts.Lifetime) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(l).inFlight--
}

// Failed records a call without an answer and returns how long the upstream is ejected for; 0 if it is not.
func (p *Picker) Failed(l hosts.Lifetime) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(l)
	s.inFlight--
	s.failuresInRow++
	if s.failuresInRow < failuresToEject {
		return 0
	}
	s.ejection = min(maxEjection, max(minEjection, 2*s.ejection))
	s.ejectedUntil = p.now().Add(s.ejection)
	return s.ejection
}

// Forget drops the measurements of lifetimes that are not in a table and have no calls in flight.
func (p *Picker) Forget(t *hosts.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l, s := range p.byLifetime {
		if u, known := t.Get(l.ID); (!known || u.Lifetime() != l) && s.inFlight == 0 {
			delete(p.byLifetime, l)
		}
	}
}
