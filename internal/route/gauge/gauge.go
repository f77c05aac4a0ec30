package gauge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportHalfLife is the age at which the calls of other entries in a report count half.
	reportHalfLife = 5 * time.Second
	// slownessHalfLife is the time in which an observed slowness decays to half.
	slownessHalfLife = 15 * time.Second
	slownessWeight   = 0.3 // of the newest call
	defaultLimit     = 16  // concurrency limit of an upstream that has not reported one
	// maxSlowness bounds the effect of a single answer.
	maxSlowness = 100
)

// Report is the load that an upstream last reported.
type Report struct {
	Running   int
	Queued    int
	Limit     int           // concurrency limit; 0 when unknown
	Latency   time.Duration // smoothed run time; 0 when unknown
	ShortWait time.Duration // expected wait of a new short call
	LongWait  time.Duration // expected wait of a new long call
	At        time.Time     // time of the measurement, by the entry's clock
}

// report is a Report with what the gauge derives from it.
type report struct {
	Report
	others float64 // calls of other entries at the time of the report
}

// slowness is the smoothed ratio of call times to expected times, when it was last updated.
type slowness struct {
	ratio float64 // at least 1
	at    time.Time
}

// Gauge is one upstream's load as one entry sees it; its zero value is ready and it is safe for concurrent use.
type Gauge struct {
	inFlight     atomic.Int64
	last         atomic.Pointer[report]
	slow         atomic.Pointer[slowness]
	ejectedUntil atomic.Int64 // Unix nanoseconds
}

// Begin counts a call that is being sent.
func (g *Gauge) Begin() { g.inFlight.Add(1) }

// End counts a call that ended after elapsed. The ratio to the expected time updates the slowness; an expected time of
// 0 leaves it unchanged.
func (g *Gauge) End(elapsed, expected time.Duration, now time.Time) {
	g.inFlight.Add(-1)
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowness, float64(elapsed)/float64(expected))
	old := g.Slowness(now)
	next := old + slownessWeight*(ratio-old)
	g.slow.Store(&slowness{ratio: max(1, next), at: now})
}

// InFlight returns the number of the entry's own calls in flight.
func (g *Gauge) InFlight() int { return int(g.inFlight.Load()) }

// Observe stores a report unless it is not newer than the last one.
func (g *Gauge) Observe(r Report) {
	others := max(0, float64(r.Running+r.Queued)-float64(g.inFlight.Load()))
	next := &report{Report: r, others: others}
	for {
		last := g.last.Load()
		if last != nil && !r.At.After(last.At) {
			return
		}
		if g.last.CompareAndSwap(last, next) {
			return
		}
	}
}

// Eject marks the upstream as ejected until the given time.
func (g *Gauge) Eject(until time.Time) { g.ejectedUntil.Store(until.UnixNano()) }

// EjectedUntil returns the end of the last ejection; false if there was none.
func (g *Gauge) EjectedUntil() (time.Time, bool) {
	ns := g.ejectedUntil.Load()
	return time.Unix(0, ns), ns != 0
}

// Slowness returns the ratio of recent call times to their expected times, decayed towards 1 and at least 1.
func (g *Gauge) Slowness(now time.Time) float64 {
	s := g.slow.Load()
	if s == nil {
		return 1
	}
	return 1 + (s.ratio-1)*decay(now.Sub(s.at), slownessHalfLife)
}

// Estimate returns the expected calls per slot with one more call, and the age of the last report; the age is -1 if
// there was none.
func (g *Gauge) Estimate(now time.Time) (load float64, age time.Duration) {
	calls := float64(g.inFlight.Load()) + 1
	last := g.last.Load()
	if last == nil {
		return calls / defaultLimit, -1
	}
	age = max(0, now.Sub(last.At))
	calls += last.others * decay(age, reportHalfLife)
	limit := last.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	return calls / float64(limit), age
}

// Latency returns the last reported smoothed run time; 0 when unknown.
func (g *Gauge) Latency() time.Duration {
	if last := g.last.Load(); last != nil {
		return last.Latency
	}
	return 0
}

// decay returns the factor by which a value has decayed at the given age: 1 at age 0, 0.5 at halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
