package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	outlookMargin = 200 * time.Millisecond // by which forecasts over all stages are on the safe side
	activeOver    = 1 * time.Second        // over which the number of working upstreams is averaged
	leastActive   = 0.5                    // upstreams
	// A pool has a queue when more waits than an eighth of a call for each upstream; less is taken up by the next calls.
	backedUpPart = 8
)

// outlook marks jobs that have not begun and can't meet their target any more, given the work of all stages that comes
// before theirs: that of jobs that have begun, and of those that are more urgent. What would only be given up at a later
// stage does not take the place of other work at the first one.
func (b *Scheduler) outlook(now time.Time) {
	ahead := map[string]int{}
	var waiting []waitingJob
	for _, j := range b.order {
		switch {
		case b.jobs[j.ID] != j || j.late || j.granted || j.recalled:
		case j.started:
			j.addTo(ahead)
		default:
			waiting = append(waiting, waitingJob{job: j, urgency: b.jobUrgency(j)})
		}
	}
	slices.SortStableFunc(waiting, func(a, c waitingJob) int { return cmp.Compare(a.urgency, c.urgency) })
	for _, j := range waiting {
		if now.Add(b.path(j.job, ahead) + j.FinalStep + outlookMargin).After(j.Target) {
			j.late = true
			continue
		}
		j.addTo(ahead)
	}
}

// waitingJob is a job that has not begun.
type waitingJob struct {
	*job
	urgency int64
}

// addTo adds the pieces of a job that no call holds, by pool.
func (j *job) addTo(ahead map[string]int) {
	for _, s := range j.steps {
		switch s.state {
		case stepReady:
			ahead[s.spec.Pool] += len(s.pending)
		case stepBlocked:
			ahead[s.spec.Pool] += s.spec.Pieces
		}
	}
}

// jobUrgency is the urgency of the most urgent step of a job that has not begun.
func (b *Scheduler) jobUrgency(j *job) int64 {
	var least int64
	for i, s := range j.steps {
		if u := b.urgency(s); i == 0 || u < least {
			least = u
		}
	}
	return least
}

// path is the expected time until all stages of a job are done, after the pieces that are ahead of it.
func (b *Scheduler) path(j *job, ahead map[string]int) time.Duration {
	finish := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i, s := range j.steps {
		for _, a := range s.spec.After {
			finish[i] = max(finish[i], finish[a])
		}
		p := b.pools[s.spec.Pool]
		if s.spec.Pieces == 0 || p == nil {
			continue
		}
		finish[i] = max(finish[i], p.drain(ahead[s.spec.Pool])) + b.usualCall(s)
		longest = max(longest, finish[i])
	}
	return longest
}

// drain is the expected time until a pool has begun a number of pieces, in calls as full as they usually are.
func (p *pool) drain(pieces int) time.Duration {
	present, busy := p.present(), p.busy()
	if present == 0 || (busy < present && len(p.ready) == 0) {
		return 0
	}
	calls := float64(pieces)/p.fill + 0.5
	return time.Duration(calls * float64(p.callTime(int(p.fill))) / max(leastActive, min(p.active, float64(present))))
}

// observe notes how many upstreams work while pieces wait; memory for results may keep some of them idle.
func (p *pool) observe(now time.Time) {
	passed := now.Sub(p.observed)
	p.observed = now
	present, busy := p.present(), p.busy()
	if p.active == 0 {
		p.active = float64(present)
	}
	if len(p.ready) == 0 {
		return
	}
	part := 1 - math.Exp(-float64(passed)/float64(activeOver))
	p.active += part * (float64(busy) - p.active)
	p.active = min(p.active, float64(present))
}

// backedUp says whether a stage that comes later for a job has a queue; queues are looked at once for a call.
func (b *Scheduler) backedUp(j *job, known map[*pool]bool) bool {
	for _, s := range j.steps {
		p := b.pools[s.spec.Pool]
		if s.state != stepBlocked || s.spec.Pieces == 0 || p == nil {
			continue
		}
		hasQueue, looked := known[p]
		if !looked {
			inTime, late := p.queued()
			hasQueue = p.drain(1) > 0 && (inTime+late)*backedUpPart > p.present()*p.spec.Size
			known[p] = hasQueue
		}
		if hasQueue {
			return true
		}
	}
	return false
}
