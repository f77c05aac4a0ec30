package gauge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportHalfLife is the age at which the part of others in a report counts half.
	reportHalfLife = 5 * time.Second
	// slownessHalfLife is the time in which an observed slowness is half forgotten.
	slownessHalfLife = 15 * time.Second
	slownessWeight   = 0.3
	defaultLimit     = 16
	// maxSlowness bounds what one answer can say of an upstream.
	maxSlowness = 100
)

// Report is what a side last said of its load.
type Report struct {
	Running   int
	Queued    int
	Limit     int           // concurrency limit; 0 when unknown
	Latency   time.Duration // smoothed running time; 0 when unknown
	ShortWait time.Duration // expected wait of a new short call
	LongWait  time.Duration // expected wait of a new long call
	At        time.Time     // when it was true, by the entry's clock
}

type report struct {
	Report
	others float64 // calls of other entries at that time
}

type slowness struct {
	ratio float64
	at    time.Time
}

// Gauge is one upstream's load as one entry sees it; its zero value is ready and it is safe for concurrent use.
type Gauge struct {
	inFlight atomic.Int64
	last     atomic.Pointer[report]
	slow     atomic.Pointer[slowness]
	outUntil atomic.Int64 // Unix nanoseconds
}

// Begin counts a call that is being sent.
func (g *Gauge) Begin() { g.inFlight.Add(1) }

// End counts a call that ended after elapsed; expected is its usual time, and 0 leaves the slowness as it is.
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

// InFlight is the number of the entry's own calls, in calls.
func (g *Gauge) InFlight() int { return int(g.inFlight.Load()) }

// Observe takes a report; one that is not newer than the last is dropped.
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

// Eject keeps calls away until a time.
func (g *Gauge) Eject(until time.Time) { g.outUntil.Store(until.UnixNano()) }

// EjectedUntil is the end of the last ejection; false if there was none.
func (g *Gauge) EjectedUntil() (time.Time, bool) {
	ns := g.outUntil.Load()
	return time.Unix(0, ns), ns != 0
}

// Slowness is how much longer than usual calls have taken of late; at least 1.
func (g *Gauge) Slowness(now time.Time) float64 {
	s := g.slow.Load()
	if s == nil {
		return 1
	}
	return 1 + (s.ratio-1)*decay(now.Sub(s.at), slownessHalfLife)
}

// Estimate returns the expected calls per slot of the upstream with one more call, and the age of the report.
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

// Latency is the last reported smoothed running time, 0 when unknown.
func (g *Gauge) Latency() time.Duration {
	if last := g.last.Load(); last != nil {
		return last.Latency
	}
	return 0
}

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
