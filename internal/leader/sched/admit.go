package sched

import "time"

// admit says whether a new job is refused, and marks it late if it can't meet its target.
func (b *Scheduler) admit(j *job, now time.Time) (Refusal, bool) {
	for _, s := range j.steps {
		if s.spec.Pieces == 0 {
			continue
		}
		p := b.pools[s.spec.Pool]
		if p == nil || p.present() == 0 {
			return Refusal{Job: j.ID, Reason: NoUpstreams, RetryAfter: time.Second}, true
		}
	}
	var path time.Duration
	for i, s := range j.steps {
		if len(s.spec.After) == 0 && s.spec.Pieces > 0 {
			path = max(path, b.wait(s.spec.Pool)+b.usualCall(s)+b.usualTail(j, i))
		}
	}
	j.late = now.Add(path + j.FinalStep).After(j.Target)
	if !j.late {
		return Refusal{}, false
	}
	if _, still := b.overloaded(j, now); still || b.crowded(j) {
		return Refusal{Job: j.ID, Reason: Overloaded, RetryAfter: b.retryAfter(j, now)}, true
	}
	return Refusal{}, false
}

// crowded says whether a pool on the job's way has more late work than its upstreams do in one call each.
func (b *Scheduler) crowded(j *job) bool {
	for _, s := range j.steps {
		if s.spec.Pieces == 0 {
			continue
		}
		p := b.pools[s.spec.Pool]
		if _, late := p.queued(); late >= p.present()*p.spec.Size {
			return true
		}
	}
	return false
}

// wait is the expected time until a new step of a pool begins: half a call when all upstreams are busy, and what is queued.
func (b *Scheduler) wait(name string) time.Duration {
	p := b.pools[name]
	present := p.present()
	if present == 0 || p.count().taken < present {
		return 0
	}
	inTime, _ := p.queued()
	return p.timeFor(inTime, 0.5)
}

// queued is the number of pieces that no call holds, of jobs that are in time and of late ones.
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

// timeFor is how long the upstreams need together for pieces in full calls, and some calls more.
func (p *pool) timeFor(pieces int, more float64) time.Duration {
	calls := float64(pieces)/float64(p.spec.Size) + more
	return time.Duration(calls * float64(p.callTime(p.spec.Size)) / float64(max(1, p.present())))
}

// present is the number of upstreams that are listed and ready.
func (p *pool) present() int { return p.count().present }

// busy is the number of those that have a call.
func (p *pool) busy() int { return p.count().busy }

// count counts the upstreams, if a call or the list has changed since.
func (p *pool) count() numbers {
	if p.counted {
		return p.numbers
	}
	p.counted, p.numbers = true, numbers{}
	for _, w := range p.workers {
		if !w.present {
			continue
		}
		p.numbers.present++
		if w.running != nil {
			p.numbers.busy++
		}
		if w.running != nil || w.slow() {
			p.numbers.taken++
		}
	}
	return p.numbers
}

// retryAfter is when the work that is queued on a job's way is expected to be done, late work included. An overload is
// expected to go on for as long as it has lasted.
func (b *Scheduler) retryAfter(j *job, now time.Time) time.Duration {
	var longest time.Duration
	for _, s := range j.steps {
		if p := b.pools[s.spec.Pool]; s.spec.Pieces > 0 && p != nil {
			inTime, late := p.queued()
			longest = max(longest, p.timeFor(inTime+late, 1))
		}
	}
	lasted, _ := b.overloaded(j, now)
	return min(max(minRetryAfter, retryFactor*longest, lasted), max(minRetryAfter, j.Deadline.Sub(now)/retryPart))
}
