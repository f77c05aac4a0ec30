package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/route/speed"
)

// hedge requeues the pieces of calls that take too long, and fails calls that exceed their timeout.
func (sc *Scheduler) hedge(now time.Time) {
	for _, id := range sortedKeys(sc.calls) {
		r := sc.calls[id]
		elapsed := now.Sub(r.startedAt)
		if elapsed > r.timeout+timeoutGrace {
			sc.CallFailed(id, false, now)
			continue
		}
		factor := hedgeFactor
		if p := sc.pools[r.worker.up.Pool]; p != nil && len(p.ready) > 0 {
			factor = hedgeQueuedFactor
		}
		if r.hedged || elapsed < time.Duration(factor*float64(r.boundedExpectation()))+hedgeSlack {
			continue
		}
		r.hedged = true
		r.worker.speed = r.worker.speed.WithCall(elapsed, r.usual, r.reference, now)
		sc.pools[r.worker.up.Pool].countsValid = false
		for _, p := range r.parts {
			if p.detached {
				continue
			}
			for _, piece := range p.pieces {
				sc.requeue(p.step, piece)
			}
		}
	}
}

// boundedExpectation returns the duration by which a call is hedged and given up: the expected one, but of an upstream
// that is known to be slow no more than at the limit of slow ones.
func (r *activeCall) boundedExpectation() time.Duration {
	return min(r.expected, time.Duration(speed.SlowFactor*float64(r.usual)))
}

// slow reports whether the upstream gets single steps, to test whether it has recovered.
func (w *worker) slow() bool { return w.speed.Slow() }
