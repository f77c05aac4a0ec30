package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const expiryInterval = 100 * time.Millisecond // between scans for expired results

// releaseConsumed releases results that no stage of the job will read again.
func (sc *Scheduler) releaseConsumed(j *job) {
	for i, s := range j.steps {
		if s.state != stepDone || j.isOutput(i) {
			continue
		}
		needed := false
		for _, other := range j.steps {
			if slices.Contains(other.spec.After, i) && other.state != stepDone {
				needed = true
			}
		}
		if !needed {
			sc.releaseStep(s)
		}
	}
}

func (sc *Scheduler) releaseStep(s *step) {
	for i, r := range s.results {
		if r.handle == "" {
			continue
		}
		if w := sc.worker(r.producer); w != nil {
			sc.releaseResult(w, r.handle)
		}
		s.results[i] = result{}
	}
}

func (w *worker) addResult(handle string, j *job, bytes int64, expires time.Time) {
	w.held[handle] = held{job: j, bytes: bytes, expires: expires}
	w.usedBytes += bytes
}

// removeResult stops tracking a result and reports whether it was tracked.
func (w *worker) removeResult(handle string) bool {
	h, known := w.held[handle]
	if known {
		delete(w.held, handle)
		w.usedBytes -= h.bytes
	}
	return known
}

// releaseResult queues the release of a result on the upstream that produced it.
func (sc *Scheduler) releaseResult(w *worker, handle string) {
	if w.removeResult(handle) {
		sc.toRelease[w.up.ID] = append(sc.toRelease[w.up.ID], handle)
	}
}

// probe requests the free memory of upstreams that hold, or may hold, results that this scheduler does not track.
func (sc *Scheduler) probe(p *pool, now time.Time) {
	var due []hosts.Upstream
	for _, w := range p.workers {
		if w.untracked > 0 && p.spec.Headroom < minProbedHeadroom && now.After(w.untrackedUntil) {
			w.untracked = 0
		}
		probeNew := w.mayHoldUntracked && len(sc.jobs) > 0
		probeUntracked := w.untracked > 0 && p.spec.Headroom >= minProbedHeadroom && len(p.ready) > 0
		if w.present && (probeNew || probeUntracked) && !now.Before(w.nextProbe) {
			w.nextProbe = now.Add(probeInterval)
			due = append(due, w.up)
		}
	}
	slices.SortFunc(due, func(a, c hosts.Upstream) int { return cmp.Compare(a.ID, c.ID) })
	sc.output.Probes = append(sc.output.Probes, due...)
}

// SetFreeMemory records the free memory for results, in bytes, that an upstream reports. Reports of lifetimes that have
// ended are ignored.
func (sc *Scheduler) SetFreeMemory(l hosts.Lifetime, free int64, now time.Time) {
	w := sc.worker(l)
	if w == nil {
		return
	}
	w.untracked, w.mayHoldUntracked = 0, false
	p := sc.pools[w.up.Pool]
	if p == nil {
		return
	}
	rounding := int64(reportResolution)
	if now.Before(w.untrackedUntil) {
		rounding = 0 // memory ran out recently: don't assume that the report is too low
	}
	if untracked := p.spec.Headroom - free - rounding - w.usedBytes; untracked > p.spec.Headroom/minUntrackedDivisor {
		w.untracked = untracked
	}
}

// expireResults stops tracking results that their upstreams have dropped after their lifetime.
func (sc *Scheduler) expireResults(p *pool, now time.Time) {
	if now.Sub(p.lastExpired) < expiryInterval {
		return
	}
	p.lastExpired = now
	for _, w := range p.workers {
		for handle, h := range w.held {
			if now.After(h.expires) {
				w.removeResult(handle)
				sc.affected[h.job] = true
			}
		}
	}
}
