package sched

import "time"

const (
	minEarlyBytes = 500_000                // results of a step that are worth making late
	earlyMargin   = 200 * time.Millisecond // by which such a step is ready before the rest of its job
)

// early says whether a step should wait, as its results would only occupy memory: nothing but the request itself reads
// them, and the rest of the job takes longer than the step.
func (b *Scheduler) early(s *step, now time.Time) bool {
	if s.spec.ResultBytes*int64(s.spec.Pieces) < minEarlyBytes || !s.job.last(s.index) || s.failures > 0 {
		return false
	}
	p := b.pools[s.spec.Pool]
	return b.rest(s, now) > p.wait+b.usualCall(s)+earlyMargin
}

// rest is the expected time until the other steps of a job are done.
func (b *Scheduler) rest(s *step, now time.Time) time.Duration {
	var longest time.Duration
	for _, other := range s.job.steps {
		p := b.pools[other.spec.Pool]
		if other == s || p == nil {
			continue
		}
		call, tail := b.usualCall(other), b.usualTail(s.job, other.index)
		switch other.state {
		case stepRunning:
			longest = max(longest, max(0, call-now.Sub(other.begun))+tail)
		case stepReady:
			longest = max(longest, max(0, p.wait-now.Sub(other.since))+call+tail)
		}
	}
	return longest
}
