package eject

import (
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	defaultConsecutive = 3 // failures
	defaultMaxPart     = 0.5
	defaultBase        = 5 * time.Second
	defaultLongest     = 60 * time.Second
	rateSmoothing      = 0.1
	rateLimit          = 0.6
	minSamples         = 10
)

// Options configure a table; a zero field takes its default.
type Options struct {
	// Consecutive failures that eject an upstream, 3 by default.
	Consecutive int
	// MaxFraction of the pool that may be out at once, 0.5 by default.
	MaxFraction float64
	// BaseTime is the length of a first ejection, 5 s by default; each further one doubles it.
	BaseTime time.Duration
	// MaxTime is the longest ejection, 60 s by default.
	MaxTime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Consecutive <= 0 {
		o.Consecutive = defaultConsecutive
	}
	if o.MaxFraction <= 0 {
		o.MaxFraction = defaultMaxPart
	}
	if o.BaseTime <= 0 {
		o.BaseTime = defaultBase
	}
	if o.MaxTime <= 0 {
		o.MaxTime = defaultLongest
	}
	return o
}

type row struct {
	consecutive int
	samples     int
	rate        float64 // smoothed part of the calls that failed
	times       int     // ejections without a success in between
	until       time.Time
}

// Table holds the failures of one pool's upstreams; it is safe for concurrent use.
type Table struct {
	opts Options
	mu   sync.Mutex
	rows map[string]*row
	out  map[string]time.Time
}

// New returns a table that ejects nobody yet.
func New(o Options) *Table {
	return &Table{opts: o.withDefaults(), rows: map[string]*row{}, out: map[string]time.Time{}}
}

// IsUpstreamFailure says whether an error speaks against the upstream's health.
func IsUpstreamFailure(err *fault.Error) bool {
	switch err.Code {
	case fault.Transport, fault.Silent, fault.Crashed, fault.NoUpstream, fault.Upstream, fault.Malformed, fault.Incomplete:
		return true
	}
	return false
}

// Succeeded notes a call that ended well.
func (t *Table) Succeeded(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil {
		return
	}
	r.consecutive = 0
	r.times = 0
	r.samples++
	r.rate -= rateSmoothing * r.rate
}

// Failed notes a failed call in a pool of size upstreams, and returns until when the upstream is now ejected, if it is.
func (t *Table) Failed(name string, size int, now time.Time) (until time.Time, ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil {
		r = &row{}
		t.rows[name] = r
	}
	if now.Before(r.until) {
		return r.until, false
	}
	r.consecutive++
	r.samples++
	r.rate += rateSmoothing * (1 - r.rate)
	if !t.bad(r) || !t.room(size, now) {
		return time.Time{}, false
	}
	length := min(t.opts.MaxTime, t.opts.BaseTime<<min(r.times, 10))
	*r = row{times: r.times + 1, until: now.Add(length)}
	t.out[name] = r.until
	return r.until, true
}

// EjectedCount is the number of upstreams that are ejected.
func (t *Table) EjectedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readmit(now)
	return len(t.out)
}

// Forget drops an upstream that has left the pool.
func (t *Table) Forget(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, name)
	delete(t.out, name)
}

// bad says whether a row calls for an ejection; an upstream that was just let back in has one chance.
func (t *Table) bad(r *row) bool {
	return r.times > 0 || r.consecutive >= t.opts.Consecutive || (r.samples >= minSamples && r.rate > rateLimit)
}

func (t *Table) room(size int, now time.Time) bool {
	t.readmit(now)
	return len(t.out)+1 <= int(t.opts.MaxFraction*float64(size))
}

func (t *Table) readmit(now time.Time) {
	for name, until := range t.out {
		if !now.Before(until) {
			delete(t.out, name)
		}
	}
}
