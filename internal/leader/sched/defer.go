package sched

import "time"

const (
	minDeferredBytes = 500_000                // smallest results of a step that are worth deferring
	deferMargin      = 200 * time.Millisecond // how long before the rest of its job a deferred step should be done
)

// shouldDefer reports whether a step with large results should wait, because no other stage reads them and the rest of
// the job takes longer. If the step ran now, its results would occupy memory until the rest is done.
func (sc *Scheduler) shouldDefer(s *step, now time.Time) bool {
	if s.spec.ResultBytes*int64(s.spec.Pieces) < minDeferredBytes || !s.job.isOutput(s.index) || s.failures > 0 {
		return false
	}
	return sc.otherStepsTime(s, now) > sc.stepWait(s.job, s)+sc.expectedCallTime(s)+deferMargin
}

// otherStepsTime returns the expected time until all other steps of the job are done.
func (sc *Scheduler) otherStepsTime(s *step, now time.Time) time.Duration {
	var longest time.Duration
	for _, other := range s.job.steps {
		p := sc.pools[other.spec.Pool]
		if other == s || p == nil {
			continue
		}
		call, tail := sc.expectedCallTime(other), sc.expectedTail(s.job, other.index)
		switch other.state {
		case stepRunning:
			longest = max(longest, max(0, call-now.Sub(other.lastCallAt))+tail)
		case stepReady:
			longest = max(longest, max(0, sc.stepWait(s.job, other)-now.Sub(other.readySince))+call+tail)
		}
	}
	return longest
}
