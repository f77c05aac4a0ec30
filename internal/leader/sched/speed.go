package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/route/speed"
)

// speedInterval is the least time between comparisons of the upstreams of a pool; samples fade by 3% in it.
const speedInterval = 5 * time.Millisecond

// poolSpeed is how fast the upstreams of a pool are now. It is empty while none of them has stated its load.
type poolSpeed struct {
	known   bool          // some upstream has stated its load
	typical time.Duration // median duration of a call of the reference size
	updated time.Time     // when these were computed
	mean    float64       // duration of a call as a multiple of the usual one, by what all upstreams together complete
}

// scale returns a usual duration at the mean speed of the pool.
func (s poolSpeed) scale(usual time.Duration) time.Duration {
	if !s.known {
		return usual
	}
	return time.Duration(s.mean * float64(usual))
}

// WithRandom sets the random source that orders upstreams which are alike, and returns the scheduler.
func (sc *Scheduler) WithRandom(random func() uint64) *Scheduler {
	sc.random = random
	return sc
}

// ObserveLoad records what an upstream said of its load in an answer that arrived at the given time. Lifetimes that have
// ended are ignored.
func (sc *Scheduler) ObserveLoad(l hosts.Lifetime, load call.Load, at time.Time) {
	if w := sc.worker(l); w != nil {
		w.speed = w.speed.WithLoad(load, at)
		if p := sc.pools[w.up.Pool]; p != nil && !p.speed.known {
			p.speed = poolSpeed{known: true, mean: 1}
		}
	}
}

// referenceCall returns the usual duration of a call of average size, by which the upstreams are compared.
func (p *pool) referenceCall() time.Duration {
	return p.usualCallTime(int(p.avgBatchSize)) + overheadPerCall
}

// updateSpeed compares the upstreams of a pool that state their load.
func (p *pool) updateSpeed(now time.Time) {
	if !p.speed.known || now.Sub(p.speed.updated) < speedInterval {
		return
	}
	p.speed.updated = now
	usual := p.referenceCall()
	var durations []time.Duration
	var rate int64 // millionths of calls in the usual duration of one, by all upstreams; whole, so that the order is irrelevant
	for _, w := range p.workers {
		if w.present {
			d := w.speed.Duration(usual, now)
			durations = append(durations, d)
			rate += int64(usual) * 1e6 / int64(max(1, d))
		}
	}
	p.speed.typical, p.speed.mean = speed.Typical(durations), 1
	if rate > 0 {
		p.speed.mean = 1e6 * float64(len(durations)) / float64(rate)
	}
	for _, w := range p.workers {
		w.class = speed.Class(w.speed.Duration(usual, now), p.speed.typical)
	}
}

// sizeAt returns the number of pieces up to which a call to an upstream is filled with further steps.
func (p *pool) sizeAt(w *worker, now time.Time) int {
	if !p.speed.known || p.speed.typical <= 0 {
		return p.spec.Size
	}
	factor := float64(w.speed.Duration(p.referenceCall(), now)) / float64(p.speed.typical)
	return speed.Size(p.spec.Size, p.spec.Call+overheadPerCall, p.spec.Piece, factor)
}

// drawTies draws the random order of upstreams that are alike. It goes by their IDs, so that the random source alone
// determines the outcome.
func (sc *Scheduler) drawTies(free []*worker) {
	slices.SortFunc(free, func(a, c *worker) int { return cmp.Compare(a.up.ID, c.up.ID) })
	for _, w := range free {
		w.tie = sc.random()
	}
}
