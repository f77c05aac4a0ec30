package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const expireEvery = 100 * time.Millisecond // between looks for results that their makers have dropped

// releaseRead gives up results that no stage of the job will read again.
func (b *Scheduler) releaseRead(j *job) {
	for i, s := range j.steps {
		if s.state != stepDone || j.last(i) {
			continue
		}
		needed := false
		for _, other := range j.steps {
			if slices.Contains(other.spec.After, i) && other.state != stepDone {
				needed = true
			}
		}
		if !needed {
			b.releaseStep(s)
		}
	}
}

func (b *Scheduler) releaseStep(s *step) {
	for i, r := range s.results {
		if r.handle == "" {
			continue
		}
		if w := b.makers[r.maker]; w != nil {
			b.drop(w, r.handle)
		}
		s.results[i] = result{}
	}
}

func (w *worker) hold(handle string, bytes int64, expires time.Time) {
	w.held[handle] = held{bytes: bytes, expires: expires}
	w.used += bytes
}

// unhold counts a result as gone, and says whether it was held.
func (w *worker) unhold(handle string) bool {
	h, known := w.held[handle]
	if known {
		delete(w.held, handle)
		w.used -= h.bytes
	}
	return known
}

// drop gives up a result at its maker.
func (b *Scheduler) drop(w *worker, handle string) {
	if w.unhold(handle) {
		b.dropped[w.up.ID] = append(b.dropped[w.up.ID], handle)
	}
}

// probe asks for the memory of upstreams that hold results of unknown origin, or may do so.
func (b *Scheduler) probe(p *pool, now time.Time) {
	var due []hosts.Upstream
	for _, w := range p.workers {
		if w.foreign > 0 && p.spec.Headroom < minProbed && now.After(w.foreignTill) {
			w.foreign = 0
		}
		unknown := w.suspect && len(b.jobs) > 0
		occupied := w.foreign > 0 && p.spec.Headroom >= minProbed && len(p.ready) > 0
		if w.present && (unknown || occupied) && !now.Before(w.probeAt) {
			w.probeAt = now.Add(probeEvery)
			due = append(due, w.up)
		}
	}
	slices.SortFunc(due, func(a, c hosts.Upstream) int { return cmp.Compare(a.ID, c.ID) })
	b.out.Probes = append(b.out.Probes, due...)
}

// SetFree notes how much memory for results an upstream says it has left.
func (b *Scheduler) SetFree(id string, free int64, now time.Time) {
	w := b.makers[id]
	if w == nil {
		return
	}
	w.foreign, w.suspect = 0, false
	p := b.pools[w.up.Pool]
	if p == nil {
		return
	}
	step := int64(reportStep)
	if now.Before(w.foreignTill) {
		step = 0 // it had no room lately
	}
	if foreign := p.spec.Headroom - free - step - w.used; foreign > p.spec.Headroom/foreignPart {
		w.foreign = foreign
	}
}

// expire forgets results that their maker has dropped by itself.
func (p *pool) expire(now time.Time) {
	if now.Sub(p.expired) < expireEvery {
		return
	}
	p.expired = now
	for _, w := range p.workers {
		for handle, h := range w.held {
			if now.After(h.expires) {
				w.unhold(handle)
			}
		}
	}
}
