package sched

import (
	"time"
)

// hedge makes the pieces of calls that take too long pending again.
func (b *Scheduler) hedge(now time.Time) {
	for _, id := range sortedKeys(b.calls) {
		r := b.calls[id]
		took := now.Sub(r.begun)
		if took > r.limit+limitSlack {
			b.Failed(id, false, now)
			continue
		}
		factor := hedgeFactor
		if p := b.pools[r.worker.up.Pool]; p != nil && len(p.ready) > 0 {
			factor = hedgeBusyFactor
		}
		if r.hedged || took < time.Duration(factor*float64(r.expected))+hedgeSlack {
			continue
		}
		r.hedged = true
		r.worker.observe(float64(took) / float64(r.expected))
		b.pools[r.worker.up.Pool].counted = false
		for _, p := range r.parts {
			for _, piece := range p.pieces {
				b.again(p.step, piece)
			}
		}
	}
}

func (w *worker) slow() bool { return w.speed > slowFactor }

// observe notes how long a call took over its expected time. One call as expected clears an upstream, as a call may also
// have waited behind those of another caller.
func (w *worker) observe(ratio float64) {
	if ratio < slowFactor {
		w.speed = min(w.speed, slowFactor)
	}
	w.speed += speedSmoothing * (ratio - w.speed)
}
