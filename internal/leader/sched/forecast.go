package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	jobForecastMargin = 200 * time.Millisecond // safety margin of forecasts over all stages
	busyAveragingTime = 1 * time.Second        // time constant of pool.avgBusy
	minAvgBusy        = 0.5                    // lower bound of pool.avgBusy, in upstreams
	// A pool counts as backed up when the queued pieces exceed an eighth of a full call per upstream. The next calls
	// absorb shorter queues.
	queueDivisor = 8
)

// markLate marks jobs that have not started and can't meet their target any more, given the work ahead of them in all
// stages: that of started jobs and of more urgent ones. Otherwise work that is bound to be refused at a later stage
// would take the place of other work at the first one.
func (sc *Scheduler) markLate(now time.Time) {
	if sc.policy != nil {
		sc.markLateByRank(now)
		return
	}
	waitingPieces := map[string]int{}
	var notStarted []waitingJob
	for _, j := range sc.order {
		switch {
		case sc.jobs[j.ID] != j || j.late || j.granted || j.recalled:
		case j.started:
			j.addWaitingPieces(waitingPieces)
		default:
			notStarted = append(notStarted, waitingJob{job: j, urgency: sc.jobUrgency(j)})
		}
	}
	slices.SortStableFunc(notStarted, func(a, c waitingJob) int { return cmp.Compare(a.urgency, c.urgency) })
	for _, j := range notStarted {
		if now.Add(sc.expectedStagesTime(j.job, waitingPieces) + j.TimeToFirstToken + jobForecastMargin).After(j.Target) {
			j.late = true
			continue
		}
		j.addWaitingPieces(waitingPieces)
	}
}

// waitingJob is a job that has not started.
type waitingJob struct {
	*job
	urgency int64
}

// addWaitingPieces adds the pieces of the job that are in no call to the counts by pool.
func (j *job) addWaitingPieces(waitingPieces map[string]int) {
	for _, s := range j.steps {
		switch s.state {
		case stepReady:
			waitingPieces[s.spec.Pool] += len(s.pending)
		case stepBlocked:
			waitingPieces[s.spec.Pool] += s.spec.Pieces
		}
	}
}

// jobUrgency returns the urgency of the most urgent step of a job that has not started.
func (sc *Scheduler) jobUrgency(j *job) int64 {
	var least int64
	for i, s := range j.steps {
		if u := sc.urgency(s); i == 0 || u < least {
			least = u
		}
	}
	return least
}

// expectedStagesTime returns the expected time until all stages of a job are done, after the given waiting pieces.
func (sc *Scheduler) expectedStagesTime(j *job, waitingPieces map[string]int) time.Duration {
	return sc.stagesTime(j, func(s *step, p *pool) time.Duration { return p.drainTime(waitingPieces[s.spec.Pool]) }, noWait)
}

// stagesTime returns the expected time until all stages of a job are done. No pool takes them before busy has passed, and
// each stage waits once its inputs are done.
func (sc *Scheduler) stagesTime(j *job, busy, wait func(s *step, p *pool) time.Duration) time.Duration {
	finish := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i, s := range j.steps {
		for _, a := range s.spec.After {
			finish[i] = max(finish[i], finish[a])
		}
		p := sc.pools[s.spec.Pool]
		if s.spec.Pieces == 0 || p == nil {
			continue
		}
		finish[i] = max(finish[i], busy(s, p)) + wait(s, p) + sc.expectedCallTime(s)
		longest = max(longest, finish[i])
	}
	return longest
}

// drainTime returns the expected time until a pool has started the given number of pieces, in calls of average size.
func (p *pool) drainTime(pieces int) time.Duration {
	present, busy := p.present(), p.busy()
	if present == 0 || (busy < present && len(p.ready) == 0) {
		return 0
	}
	calls := float64(pieces)/p.avgBatchSize + 0.5
	return time.Duration(
		calls * float64(p.callTime(int(p.avgBatchSize))) / max(minAvgBusy, min(p.avgBusy, float64(present))))
}

// updateAvgBusy updates the average number of busy upstreams while pieces wait. It may stay below the number of
// upstreams, because a lack of memory for results can keep some of them idle.
func (p *pool) updateAvgBusy(now time.Time) {
	elapsed := now.Sub(p.lastObserved)
	p.lastObserved = now
	present, busy := p.present(), p.busy()
	if p.avgBusy == 0 {
		p.avgBusy = float64(present)
	}
	if len(p.ready) == 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(busyAveragingTime))
	p.avgBusy += weight * (float64(busy) - p.avgBusy)
	p.avgBusy = min(p.avgBusy, float64(present))
}

// hasDownstreamQueue reports whether a later stage of the job is backed up. The cache holds the answers by pool while
// one call is built.
func (sc *Scheduler) hasDownstreamQueue(j *job, cache map[*pool]bool) bool {
	for _, s := range j.steps {
		p := sc.pools[s.spec.Pool]
		if s.state != stepBlocked || s.spec.Pieces == 0 || p == nil {
			continue
		}
		hasQueue, cached := cache[p]
		if !cached {
			inTime, late := p.queued()
			hasQueue = p.drainTime(1) > 0 && (inTime+late)*queueDivisor > p.present()*p.spec.Size
			cache[p] = hasQueue
		}
		if hasQueue {
			return true
		}
	}
	return false
}
