package eject

import (
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	defaultConsecutive   = 3 // failures
	defaultMaxFraction   = 0.5
	defaultBaseTime      = 5 * time.Second
	defaultMaxTime       = 60 * time.Second
	failureRateSmoothing = 0.1 // weight of the newest call in failureRate
	maxFailureRate       = 0.6 // a higher rate ejects the upstream
	minSamples           = 10  // calls before the rate may eject it
)

// Options configure a table; a zero field takes its default.
type Options struct {
	// Consecutive is the number of consecutive failures that eject an upstream, 3 by default.
	Consecutive int
	// MaxFraction is the largest fraction of the pool that may be ejected at once, 0.5 by default.
	MaxFraction float64
	// BaseTime is the length of the first ejection, 5 s by default; each further one doubles it.
	BaseTime time.Duration
	// MaxTime is the longest ejection, 60 s by default.
	MaxTime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Consecutive <= 0 {
		o.Consecutive = defaultConsecutive
	}
	if o.MaxFraction <= 0 {
		o.MaxFraction = defaultMaxFraction
	}
	if o.BaseTime <= 0 {
		o.BaseTime = defaultBaseTime
	}
	if o.MaxTime <= 0 {
		o.MaxTime = defaultMaxTime
	}
	return o
}

// record counts the calls of one upstream since its last ejection.
type record struct {
	consecutive int       // failures since the last success
	samples     int       // calls
	failureRate float64   // smoothed fraction of failed calls
	ejections   int       // since the last success
	until       time.Time // end of the last ejection
}

// Table tracks the failures and ejections of one pool's upstreams; it is safe for concurrent use.
type Table struct {
	opts         Options
	mu           sync.Mutex
	records      map[string]*record
	ejectedUntil map[string]time.Time
}

// New returns a table without failures.
func New(o Options) *Table {
	return &Table{opts: o.withDefaults(), records: map[string]*record{}, ejectedUntil: map[string]time.Time{}}
}

// IsUpstreamFailure reports whether an error indicates that the upstream is unhealthy.
func IsUpstreamFailure(err *fault.Error) bool {
	switch err.Code {
	case fault.Transport, fault.Silent, fault.Crashed, fault.NoUpstream, fault.Upstream, fault.Malformed, fault.Incomplete:
		return true
	}
	return false
}

// Succeeded records a successful call.
func (t *Table) Succeeded(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[name]
	if r == nil {
		return
	}
	r.consecutive = 0
	r.ejections = 0
	r.samples++
	r.failureRate -= failureRateSmoothing * r.failureRate
}

// Failed records a failed call in a pool of size upstreams. It reports whether this failure ejects the upstream. The
// time is the end of the ejection, also of one in progress; zero if there is none.
func (t *Table) Failed(name string, size int, now time.Time) (until time.Time, ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[name]
	if r == nil {
		r = &record{}
		t.records[name] = r
	}
	if now.Before(r.until) {
		return r.until, false
	}
	r.consecutive++
	r.samples++
	r.failureRate += failureRateSmoothing * (1 - r.failureRate)
	if !t.shouldEject(r) || !t.belowCap(size, now) {
		return time.Time{}, false
	}
	length := min(t.opts.MaxTime, t.opts.BaseTime<<min(r.ejections, 10))
	*r = record{ejections: r.ejections + 1, until: now.Add(length)}
	t.ejectedUntil[name] = r.until
	return r.until, true
}

// EjectedCount returns the number of ejected upstreams.
func (t *Table) EjectedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readmit(now)
	return len(t.ejectedUntil)
}

// Forget drops an upstream that has left the pool.
func (t *Table) Forget(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, name)
	delete(t.ejectedUntil, name)
}

// shouldEject reports whether the failures call for an ejection. After an ejection a single failure does, until a call
// succeeds.
func (t *Table) shouldEject(r *record) bool {
	return r.ejections > 0 || r.consecutive >= t.opts.Consecutive ||
		(r.samples >= minSamples && r.failureRate > maxFailureRate)
}

// belowCap reports whether one more upstream of a pool of the given size may be ejected. The caller holds mu.
func (t *Table) belowCap(size int, now time.Time) bool {
	t.readmit(now)
	return len(t.ejectedUntil)+1 <= int(t.opts.MaxFraction*float64(size))
}

// readmit drops the ejections that have ended. The caller holds mu.
func (t *Table) readmit(now time.Time) {
	for name, until := range t.ejectedUntil {
		if !now.Before(until) {
			delete(t.ejectedUntil, name)
		}
	}
}
