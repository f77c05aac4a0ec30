package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/fair"
)

const (
	// Least part of a pool that a forecast assumes to be left by more urgent work. Half a call per upstream then takes longer
	// than any target.
	minLeft = 0.005
	// Queues come and go within a call of about 400 ms.
	congestionMemory = 400 * time.Millisecond
	// Part of its hold time, as a divisor, that a late job may wait unless its caller was refused before. Callers that come
	// back so find more room than new ones. With 4, 0.003 less were in time at 0.85 and at 1 of the capacity of deployment N.
	firstHoldDivisor = 2
	// Urgency that a step loses for each rank while jobs compete by rank. With rank before urgency, the share of long that was
	// in time at 1.4 of the capacity of deployment N fell by 0.08 for 0.02 of draft.
	rankedUrgencyPerRank = 200 * time.Millisecond
	// Safety margin of forecasts over all stages, in place of jobForecastMargin. With 200 ms, queues were too short to fill
	// calls: 52 of 60 pieces while draft was three times as much as usual on deployment N.
	rankedForecastMargin = 120 * time.Millisecond
	largeSuffix          = " large" // of a pool's name, for pieces that wait for memory there
	anyRank              = 1 << 30  // less urgent than any rank
)

// SetPolicy makes jobs of different ranks compete by a policy, or by their latest start alone if it is nil.
func (sc *Scheduler) SetPolicy(p *fair.Policy) { sc.policy = p }

// capacity returns the pieces per second that a pool takes in full calls.
func (p *pool) capacity() float64 {
	return float64(p.present()*p.spec.Size) / (p.callTime(p.spec.Size) + overheadPerCall).Seconds()
}

// congested reports whether pieces of in-time jobs queue for a pool because all its upstreams are busy.
func (p *pool) congested() bool {
	inTime, _ := p.queued()
	return p.drainTime(1) > 0 && inTime*queueDivisor > p.present()*p.spec.Size
}

// missesTarget reports whether a job is expected to miss its target, after the given waiting pieces by pool.
func (sc *Scheduler) missesTarget(j *job, waiting map[string]int, now time.Time) bool {
	busy := func(s *step, p *pool) time.Duration {
		n := waiting[s.spec.Pool]
		if s.isLarge() {
			n += waiting[s.spec.Pool+largeSuffix]
		}
		return p.drainTime(n)
	}
	return now.Add(sc.stagesTime(j, busy, noWait) + j.TimeToFirstToken + rankedForecastMargin).After(j.Target)
}

// countAdmitted counts the pieces of a job that was admitted.
func (sc *Scheduler) countAdmitted(j *job, now time.Time) {
	if j.late {
		sc.addWaiting(sc.lateAhead, j, now)
		return
	}
	for _, s := range j.steps {
		if s.spec.Pieces > 0 {
			sc.policy.Admit(s.spec.Pool, j.claimRank, float64(s.spec.Pieces), now)
		}
	}
}

// canServeLate reports whether what in-time work leaves of the pools is expected to reach a late job before it would be
// refused for waiting too long.
func (sc *Scheduler) canServeLate(j *job, now time.Time) bool {
	hold := min(maxLateStepWait, time.Duration(lateHoldFraction*float64(j.Deadline.Sub(j.Arrived))))
	if !j.Retried {
		hold /= firstHoldDivisor
	}
	own := map[string]int{}
	sc.addWaitingByMemory(own, j, now)
	for _, name := range j.pools() {
		p := sc.pools[name]
		if p == nil || now.Sub(p.congestedAt) > congestionMemory {
			continue
		}
		needsMemory := own[name+largeSuffix] > 0
		inTime := p.queuedUpTo(anyRank, needsMemory, now)
		late := own[name] + own[name+largeSuffix]
		for rank, ahead := range sc.lateAhead {
			if rank <= j.claimRank {
				late += ahead[name]
				if needsMemory {
					late += ahead[name+largeSuffix]
				}
			}
		}
		left := max(minLeft, sc.policy.Left(name, anyRank, p.capacity(), now))
		if p.lacksMemory(now) && !needsMemory {
			left = 1
		}
		wait := (float64(inTime) + float64(late)/left) / p.capacity()
		if time.Duration(wait*float64(time.Second)) > hold {
			return false
		}
	}
	return true
}

// queuedUpTo returns the pieces that are in no call, of jobs that are in time and at least as urgent as rank. Those that wait
// for memory only count for a step that needs memory itself.
func (p *pool) queuedUpTo(rank int, large bool, now time.Time) int {
	if !p.rankedValid {
		p.rankedValid, p.ranked, p.rankedLarge = true, map[int]int{}, map[int]int{}
		for _, s := range p.ready {
			switch {
			case s.job.late:
			case s.isLarge():
				p.rankedLarge[s.job.claimRank] += len(s.pending)
			default:
				p.ranked[s.job.claimRank] += len(s.pending)
			}
		}
	}
	sum := countUpTo(p.ranked, rank)
	if large || !p.lacksMemory(now) {
		sum += countUpTo(p.rankedLarge, rank)
	}
	return sum
}

func countUpTo(byRank map[int]int, rank int) int {
	sum := 0
	for r, n := range byRank {
		if r <= rank {
			sum += n
		}
	}
	return sum
}

// isLarge reports whether the results of a step are large, so that it may wait for memory while slots are free.
func (s *step) isLarge() bool { return s.spec.ResultBytes*int64(s.spec.Pieces) >= minZoneBytes }

// lacksMemory reports whether in-time work has waited for memory for results lately, while demand leaves a part of the
// pool's slots. Where slots are short as well, large results that wait count for all: else long, of rank 0, was served 0.12
// less than draft, of rank 2, in a burst of long on deployment K.
func (p *pool) lacksMemory(now time.Time) bool {
	return now.Sub(p.lackedAt) <= congestionMemory && p.slotsLeft > 0
}

// markLateByRank marks jobs that have not started and can't meet their target any more, given the work of jobs that are at
// least as urgent. Less urgent jobs so give way to more urgent ones.
func (sc *Scheduler) markLateByRank(now time.Time) {
	started := map[int]map[string]int{} // waiting pieces by rank and pool
	var notStarted []waitingJob
	sc.lateAhead = map[int]map[string]int{}
	for _, j := range sc.order {
		switch {
		case sc.jobs[j.ID] != j || j.granted || j.recalled:
		case j.late:
			sc.addWaiting(sc.lateAhead, j, now)
		case j.started:
			sc.addWaiting(started, j, now)
		default:
			notStarted = append(notStarted, waitingJob{job: j, urgency: sc.jobUrgency(j)})
		}
	}
	slices.SortStableFunc(notStarted, func(a, c waitingJob) int {
		return cmp.Or(cmp.Compare(a.claimRank, c.claimRank), cmp.Compare(a.urgency, c.urgency))
	})
	ahead := map[string]int{}
	ranks := sortedKeys(started)
	for _, j := range notStarted {
		for len(ranks) > 0 && ranks[0] <= j.claimRank {
			for pool, n := range started[ranks[0]] {
				ahead[pool] += n
			}
			ranks = ranks[1:]
		}
		if sc.missesTarget(j.job, ahead, now) {
			j.late = true
			sc.addWaiting(sc.lateAhead, j.job, now)
			continue
		}
		sc.addWaitingByMemory(ahead, j.job, now)
	}
}

// addWaiting adds the waiting pieces of a job to the counts by rank and pool.
func (sc *Scheduler) addWaiting(counts map[int]map[string]int, j *job, now time.Time) {
	if counts[j.claimRank] == nil {
		counts[j.claimRank] = map[string]int{}
	}
	sc.addWaitingByMemory(counts[j.claimRank], j, now)
}

// addWaitingByMemory adds the waiting pieces of a job by pool, those that wait for memory apart, under the name of the pool
// with largeSuffix.
func (sc *Scheduler) addWaitingByMemory(counts map[string]int, j *job, now time.Time) {
	for _, s := range j.steps {
		name := s.spec.Pool
		if p := sc.pools[name]; p != nil && s.isLarge() && p.lacksMemory(now) {
			name += largeSuffix
		}
		switch s.state {
		case stepReady:
			counts[name] += len(s.pending)
		case stepBlocked:
			counts[name] += s.spec.Pieces
		}
	}
}

// fullestPool returns the pool that is most in demand among those that a job needs, and the pieces that it needs there.
func (sc *Scheduler) fullestPool(j *job, now time.Time) (name string, pieces float64) {
	least := 2.0
	for _, n := range j.pools() {
		if p := sc.pools[n]; p != nil {
			if left := sc.policy.Left(n, anyRank, p.capacity(), now); left < least {
				least, name = left, n
			}
		}
	}
	for _, s := range j.steps {
		if s.spec.Pool == name {
			pieces += float64(s.spec.Pieces)
		}
	}
	return name, pieces
}

// scarcePool returns the name of the fullest pool for a refusal, or none without a policy.
func (sc *Scheduler) scarcePool(j *job, now time.Time) string {
	if sc.policy == nil {
		return ""
	}
	name, _ := sc.fullestPool(j, now)
	return name
}

// key returns the key of the job's floor. Sizes of jobs are powers of two of their pieces, so that few large jobs are not
// kept out by many small ones.
func (j *job) key() fair.Key {
	pieces := 0
	for _, s := range j.steps {
		pieces += s.spec.Pieces
	}
	return fair.Key{Route: j.Route, Team: j.Team, Size: strconv.Itoa(1 << bits.Len(uint(pieces)))}
}

// admitByRank is admit for jobs that compete by rank. A job that can't be in time because of more urgent work may use the
// floor of its key. A late job is refused if it is not expected to be served soon, unless another scheduler has started it.
func (sc *Scheduler) admitByRank(j *job, now time.Time) (Refusal, bool) {
	j.claimRank = j.Rank
	if slices.ContainsFunc(j.Progress, func(p Progress) bool { return p.Done }) {
		return Refusal{}, false
	}
	j.late = sc.isLateAt(j, j.Rank, now)
	if j.late && j.Rank > 0 && !sc.isLateAt(j, 0, now) {
		name, units := sc.fullestPool(j, now)
		if name != "" && sc.policy.Spend(name, j.key(), units, sc.pools[name].capacity(), now) {
			j.claimRank, j.late = 0, false
		}
	}
	if j.late && !sc.canServeLate(j, now) {
		return Refusal{Job: j.ID, Reason: Overloaded, RetryAfter: sc.retryAfter(j, now), Pool: sc.scarcePool(j, now)}, true
	}
	return Refusal{}, false
}

// isLateAt reports whether a new job is expected to miss its target if it competes with a rank.
func (sc *Scheduler) isLateAt(j *job, rank int, now time.Time) bool {
	finish := sc.stagesTime(j, noWait, func(s *step, p *pool) time.Duration { return sc.rankedWait(p, s, rank, now) })
	return now.Add(finish + j.TimeToFirstToken).After(j.Target)
}

func noWait(*step, *pool) time.Duration { return 0 }

// rankedWait returns the expected wait for a call of a step with a rank. More urgent work that arrives meanwhile comes first.
func (sc *Scheduler) rankedWait(p *pool, s *step, rank int, now time.Time) time.Duration {
	present := p.present()
	if present == 0 || p.count().unavailable < present {
		return 0
	}
	// More urgent work that arrives meanwhile overtakes only in part, as its target may be later. Without the square, kinds
	// of rank 2 were refused at 0.85 of the capacity of deployment N.
	taken := 1 - sc.policy.Left(s.spec.Pool, rank, p.capacity(), now)
	return time.Duration(float64(p.processingTime(p.queuedUpTo(rank, s.isLarge(), now), 0.5)) / max(minLeft, 1-taken*taken))
}

// overloadedFor reports whether a late job that has not started is to be refused.
func (sc *Scheduler) overloadedFor(j *job, now time.Time) bool {
	if sc.policy != nil {
		return !sc.canServeLate(j, now)
	}
	_, ongoing := sc.overloadOf(j, now)
	return ongoing
}

// rankPenalty returns the urgency that a step loses by its rank. Jobs of which only this step is left lose none, so that
// what was done for them is of use.
func (sc *Scheduler) rankPenalty(s *step) time.Duration {
	switch {
	case sc.policy == nil:
		return time.Duration(s.job.Rank) * urgencyPerRank
	case s.job.started && s.job.onlyLeft(s):
		return 0
	}
	return time.Duration(s.job.claimRank) * rankedUrgencyPerRank
}

// onlyLeft reports whether all other steps of the job are done.
func (j *job) onlyLeft(s *step) bool {
	return !slices.ContainsFunc(j.steps, func(other *step) bool { return other != s && other.state != stepDone })
}

// limitTarget makes a target earlier that lies after the time at which a waiting job is refused.
func (j *job) limitTarget() {
	held := j.submitted.Add(time.Duration(maxHoldFraction * float64(j.Deadline.Sub(j.Arrived))))
	if due := held.Add(j.TimeToFirstToken); due.Before(j.Target) {
		j.Target = due
	}
}

// rankedRetryAfter returns when a refused job should come back.
func (sc *Scheduler) rankedRetryAfter(j *job, now time.Time) time.Duration {
	latest := max(minRetryAfter, j.Deadline.Sub(now)/retryDeadlineDivisor)
	name, units := sc.fullestPool(j, now)
	if name == "" {
		return minRetryAfter
	}
	return sc.policy.RetryAfter(name, j.Rank, units, sc.pools[name].capacity(), max(minRetryAfter, latest/2), latest, now)
}

// stepWait returns the expected wait for a call of a step that is not ready yet.
func (sc *Scheduler) stepWait(j *job, s *step) time.Duration {
	p := sc.pools[s.spec.Pool]
	if sc.policy == nil {
		return p.avgWait
	}
	return sc.rankedWait(p, s, j.claimRank, sc.now)
}

// needsRoomOf reports whether a step would take the room for large results that a more urgent job waits for.
func (s *step) needsRoomOf(urgent *job) bool {
	return s.job.claimRank > urgent.claimRank && s.isLarge()
}

// claim orders late jobs while jobs compete by rank: all late answers of a rank are worth the same as far as is known, so
// the one that needs least of the fullest pool comes first. It is zero for jobs that are in time.
type claim struct{ rank, pieces int }

func (a claim) compare(c claim) int {
	return cmp.Or(cmp.Compare(a.rank, c.rank), cmp.Compare(a.pieces, c.pieces))
}

// lateClaim returns the claim of the job of a step.
func (sc *Scheduler) lateClaim(s *step, now time.Time) claim {
	if sc.policy == nil || !s.job.late {
		return claim{}
	}
	out := claim{rank: s.job.claimRank}
	name, _ := sc.fullestPool(s.job, now)
	for _, other := range s.job.steps {
		if other.spec.Pool == name && (other.state == stepReady || other.state == stepBlocked) {
			out.pieces += len(other.pending)
		}
	}
	return out
}
