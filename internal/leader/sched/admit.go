package sched

import "time"

// admit reports whether a new job is refused, and marks it as late if it is not expected to meet its target. Any job is
// refused if a pool that it needs has no upstreams. A late job is also refused if late jobs have expired in its pools
// within refuseLateFor, or if one of its pools has a backlog of late pieces.
func (sc *Scheduler) admit(j *job, now time.Time) (Refusal, bool) {
	for _, s := range j.steps {
		if s.spec.Pieces == 0 {
			continue
		}
		p := sc.pools[s.spec.Pool]
		if p == nil || p.present() == 0 {
			return Refusal{Job: j.ID, Reason: NoUpstreams, RetryAfter: time.Second}, true
		}
	}
	if sc.policy != nil {
		return sc.admitByRank(j, now)
	}
	var untilDone time.Duration
	for i, s := range j.steps {
		if len(s.spec.After) == 0 && s.spec.Pieces > 0 {
			untilDone = max(untilDone, sc.expectedWait(s.spec.Pool)+sc.expectedCallTime(s)+sc.expectedTail(j, i))
		}
	}
	j.late = now.Add(untilDone + j.TimeToFirstToken).After(j.Target)
	if !j.late {
		return Refusal{}, false
	}
	if _, stillOverloaded := sc.overloadOf(j, now); stillOverloaded || sc.hasLateBacklog(j) {
		return Refusal{Job: j.ID, Reason: Overloaded, RetryAfter: sc.retryAfter(j, now)}, true
	}
	return Refusal{}, false
}

// hasLateBacklog reports whether some pool that the job needs has at least as many late pieces queued as its upstreams
// process in one full call each.
func (sc *Scheduler) hasLateBacklog(j *job) bool {
	for _, s := range j.steps {
		if s.spec.Pieces == 0 {
			continue
		}
		p := sc.pools[s.spec.Pool]
		if _, late := p.queued(); late >= p.present()*p.spec.Size {
			return true
		}
	}
	return false
}

// expectedWait returns the expected time until a new step of a pool starts. When all upstreams are busy, this is half a
// call plus the time for the queued pieces that are in time.
func (sc *Scheduler) expectedWait(name string) time.Duration {
	p := sc.pools[name]
	present := p.present()
	if present == 0 || p.count().unavailable < present {
		return 0
	}
	inTime, _ := p.queued()
	return p.processingTime(inTime, 0.5)
}

// queued returns the number of pieces that are in no call, separately for jobs that are in time and for late jobs.
func (p *pool) queued() (inTime, late int) {
	for _, s := range p.ready {
		if s.job.late {
			late += len(s.pending)
		} else {
			inTime += len(s.pending)
		}
	}
	return inTime, late
}

// processingTime returns how long all upstreams together need for the given number of pieces in full calls, plus
// extraCalls calls.
func (p *pool) processingTime(pieces int, extraCalls float64) time.Duration {
	calls := float64(pieces)/float64(p.spec.Size) + extraCalls
	return time.Duration(calls * float64(p.callTime(p.spec.Size)) / float64(max(1, p.present())))
}

// present returns the number of upstreams that are listed and ready.
func (p *pool) present() int { return p.count().present }

// busy returns the number of present upstreams with a call in flight.
func (p *pool) busy() int { return p.count().busy }

// count returns the upstream counts. They are cached until a call or the list of upstreams changes.
func (p *pool) count() workerCounts {
	if p.countsValid {
		return p.counts
	}
	p.countsValid, p.counts = true, workerCounts{}
	for _, w := range p.workers {
		if !w.present {
			continue
		}
		p.counts.present++
		if w.running != nil {
			p.counts.busy++
		}
		if w.running != nil || w.slow() {
			p.counts.unavailable++
		}
	}
	return p.counts
}

// retryAfter returns when the work queued in the job's pools, late work included, is expected to be done. An overload
// is expected to last as long again as it has lasted so far.
func (sc *Scheduler) retryAfter(j *job, now time.Time) time.Duration {
	if sc.policy != nil {
		return sc.rankedRetryAfter(j, now)
	}
	var longest time.Duration
	for _, s := range j.steps {
		if p := sc.pools[s.spec.Pool]; s.spec.Pieces > 0 && p != nil {
			inTime, late := p.queued()
			longest = max(longest, p.processingTime(inTime+late, 1))
		}
	}
	overloadedFor, _ := sc.overloadOf(j, now)
	return min(
		max(minRetryAfter, retryBacklogFactor*longest, overloadedFor),
		max(minRetryAfter, j.Deadline.Sub(now)/retryDeadlineDivisor))
}
