package sched

import (
	"time"
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
		if r.hedged || elapsed < time.Duration(factor*float64(r.expected))+hedgeSlack {
			continue
		}
		r.hedged = true
		r.worker.recordSlowness(float64(elapsed) / float64(r.expected))
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

func (w *worker) slow() bool { return w.slowness > slowFactor }

// recordSlowness records the ratio of a call's duration to its expected duration. A single call of normal duration
// clears a slow upstream, because a slow call may just have waited behind calls of another client.
func (w *worker) recordSlowness(ratio float64) {
	if ratio < slowFactor {
		w.slowness = min(w.slowness, slowFactor)
	}
	w.slowness += slownessSmoothing * (ratio - w.slowness)
}
