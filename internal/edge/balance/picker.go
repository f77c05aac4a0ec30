package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const (
	startLatency    = 40 * time.Millisecond // of an upstream that has answered nothing yet
	smoothing       = 0.2
	farZoneCost     = 4 * time.Millisecond // a round trip to another zone
	failuresToEject = 2
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	errorCost       = 300 * time.Millisecond // what a failed answer costs its caller
)

// row is what is known of one upstream.
type row struct {
	inFlight int
	latency  time.Duration
	errors   float64 // smoothed part of the calls that failed
	failures int     // in a row
	ejected  time.Duration
	until    time.Time
}

// Picker is safe for concurrent use.
type Picker struct {
	now  func() time.Time
	mu   sync.Mutex
	rows map[string]*row
}

// New returns a picker that knows nothing yet.
func New(now func() time.Time) *Picker { return &Picker{now: now, rows: map[string]*row{}} }

// Pick returns the upstream with the least expected delay and counts a call there; upstreams in not are taken only when
// there is no other, unless strict is set.
func (p *Picker) Pick(from []hosts.Upstream, zone string, not []string, strict bool) (hosts.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var best hosts.Upstream
	var bestCost time.Duration
	found := false
	for _, pass := range []bool{false, true} {
		for _, u := range from {
			r := p.row(u.ID)
			excluded := slices.Contains(not, u.ID)
			if (excluded && (strict || !pass)) || (!pass && now.Before(r.until)) {
				continue
			}
			cost := time.Duration(r.inFlight+1)*r.latency + time.Duration(r.errors*float64(errorCost))
			if u.Zone != zone {
				cost += farZoneCost
			}
			if !found || cost < bestCost {
				best, bestCost, found = u, cost, true
			}
		}
		if found {
			break
		}
	}
	if found {
		p.row(best.ID).inFlight++
	}
	return best, found
}

func (p *Picker) row(id string) *row {
	r := p.rows[id]
	if r == nil {
		r = &row{latency: startLatency}
		p.rows[id] = r
	}
	return r
}

// Answered notes an answer; ok says whether it was a success.
func (p *Picker) Answered(id string, took time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.row(id)
	r.inFlight--
	r.failures, r.ejected = 0, 0
	r.latency += time.Duration(smoothing * float64(took-r.latency))
	failed := 0.0
	if !ok {
		failed = 1
	}
	r.errors += smoothing * (failed - r.errors)
}

// Dropped notes a call that ended without telling anything about the upstream.
func (p *Picker) Dropped(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.row(id).inFlight--
}

// Failed notes a call without an answer and returns for how long the upstream is ejected now, if it is.
func (p *Picker) Failed(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.row(id)
	r.inFlight--
	r.failures++
	if r.failures < failuresToEject {
		return 0
	}
	r.ejected = min(longestEjection, max(firstEjection, 2*r.ejected))
	r.until = p.now().Add(r.ejected)
	return r.ejected
}

// Forget drops the upstreams that are not in a table.
func (p *Picker) Forget(t *hosts.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.rows {
		if _, known := t.Get(id); !known && r.inFlight == 0 {
			delete(p.rows, id)
		}
	}
}
