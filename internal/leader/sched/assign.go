package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/route/speed"
)

// assign builds calls for the free upstreams of a pool, from the most urgent steps first.
func (sc *Scheduler) assign(p *pool, now time.Time) {
	if len(p.ready) == 0 {
		return
	}
	for _, s := range p.ready {
		if !s.job.late && now.Add(sc.expectedTimeToFirstByte(s)).After(s.job.Target) {
			s.job.late = true
		}
	}
	free := sc.freeWorkers(p, now)
	if len(free) == 0 {
		return
	}
	queue := make([]queuedStep, len(p.ready))
	for i, s := range p.ready {
		queue[i] = queuedStep{step: s, urgency: sc.urgency(s), claim: sc.lateClaim(s, now)}
	}
	hasZonePreference := slices.ContainsFunc(queue, func(q queuedStep) bool { return q.step.preferredZone != "" })
	byZone := map[string][]queuedStep{}
	for _, w := range free {
		if len(p.ready) == 0 {
			return
		}
		zone := w.up.Zone
		if !hasZonePreference {
			zone = "" // no step prefers a zone: one order serves all zones
		}
		if byZone[zone] == nil {
			byZone[zone] = slices.Clone(queue)
			slices.SortStableFunc(byZone[zone], func(a, c queuedStep) int {
				return cmp.Or(falseFirst(a.step.job.late, c.step.job.late), a.claim.compare(c.claim), cmp.Compare(a.urgencyIn(zone), c.urgencyIn(zone)))
			})
		}
		byZone[zone] = slices.DeleteFunc(byZone[zone], func(q queuedStep) bool { return q.step.state != stepReady })
		sc.buildBatch(p, w, byZone[zone], now)
	}
}

// queuedStep is a step that waits for a call.
type queuedStep struct {
	step    *step
	urgency int64
	claim   claim // of a late job
}

// urgencyIn returns the urgency of the step at upstreams of a zone. Steps that prefer another zone are less urgent
// there.
func (q queuedStep) urgencyIn(zone string) int64 {
	if q.step.preferredZone != "" && q.step.preferredZone != zone {
		return q.urgency + int64(zoneBonus)
	}
	return q.urgency
}

// falseFirst compares two flags the way cmp.Compare compares other values; false sorts before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// urgency returns the latest time at which a step has to start, in Unix nanoseconds, plus a penalty for its rank. Lower
// values are more urgent.
func (sc *Scheduler) urgency(s *step) int64 {
	return s.job.Target.Add(-sc.minTimeToFirstByte(s)).UnixNano() + int64(sc.rankPenalty(s))
}

// minTimeToFirstByte returns the least time from the start of a step to the first byte of the answer.
func (sc *Scheduler) minTimeToFirstByte(s *step) time.Duration {
	return sc.minCallTime(s) + sc.minTail(s.job, s.index) + s.job.TimeToFirstToken
}

// expectedTimeToFirstByte returns the expected time from the start of a step to the first byte of the answer. Steps
// that have not started are assumed to wait as long as their pools' average.
func (sc *Scheduler) expectedTimeToFirstByte(s *step) time.Duration {
	return sc.expectedCallTime(s) + sc.expectedTail(s.job, s.index) + s.job.TimeToFirstToken + stepForecastMargin
}

// expectedTail returns the expected time of the stages that depend on a stage, waits included.
func (sc *Scheduler) expectedTail(j *job, index int) time.Duration {
	var longest time.Duration
	for i, s := range j.steps {
		p := sc.pools[s.spec.Pool]
		if s.spec.Pieces > 0 && p != nil && slices.Contains(s.spec.After, index) {
			longest = max(longest, sc.stepWait(j, s)+sc.expectedCallTime(s)+sc.expectedTail(j, i))
		}
	}
	return longest
}

// minTail returns the least time of the stages that depend on a stage.
func (sc *Scheduler) minTail(j *job, index int) time.Duration {
	var longest time.Duration
	for i, s := range j.steps {
		if s.spec.Pieces > 0 && slices.Contains(s.spec.After, index) {
			longest = max(longest, sc.minCallTime(s)+sc.minTail(j, i))
		}
	}
	return longest
}

// minCallTime returns the duration of a call that contains only the pieces of a step.
func (sc *Scheduler) minCallTime(s *step) time.Duration {
	p := sc.pools[s.spec.Pool]
	if p == nil {
		return 0
	}
	return p.callTime(min(s.spec.Pieces, p.spec.Size)) + overheadPerCall
}

// expectedCallTime returns the expected duration of a call that contains a step: the pool's average, or more if the
// step alone takes longer.
func (sc *Scheduler) expectedCallTime(s *step) time.Duration {
	return max(sc.minCallTime(s), sc.pools[s.spec.Pool].avgCallTime)
}

// callTime returns the processing time of a call with the given number of pieces at the mean speed of the upstreams.
func (p *pool) callTime(pieces int) time.Duration {
	return p.speed.scale(p.usualCallTime(pieces))
}

// usualCallTime returns the processing time of a call with the given number of pieces by the configuration.
func (p *pool) usualCallTime(pieces int) time.Duration {
	return p.spec.Call + time.Duration(pieces)*p.spec.Piece
}

// freeWorkers returns the upstreams that can take a call: fast ones before slow ones, then those with less used memory
// first. Where upstreams state their load, those that are slower than most now come later, and those that are alike in a
// random order, so that entries that decide alone do not all begin with the same one.
func (sc *Scheduler) freeWorkers(p *pool, now time.Time) []*worker {
	var out []*worker
	for _, w := range p.workers {
		if w.present && sc.state(w, now) == StateFree {
			out = append(out, w)
		}
	}
	if p.speed.known {
		sc.drawTies(out)
	}
	slices.SortFunc(out, func(a, c *worker) int {
		return cmp.Or(compareFree(a, c), cmp.Compare(a.tie, c.tie), cmp.Compare(a.up.ID, c.up.ID))
	})
	return out
}

// compareFree orders upstreams that can take a call, up to those that are alike.
func compareFree(a, c *worker) int {
	return cmp.Or(
		falseFirst(a.slow(), c.slow()),
		cmp.Compare(a.class, c.class),
		cmp.Compare(a.usedBytes+a.untracked, c.usedBytes+c.untracked))
}

// buildBatch fills one call to a free upstream from the queue, which is sorted by urgency.
func (sc *Scheduler) buildBatch(p *pool, w *worker, queue []queuedStep, now time.Time) {
	r := &activeCall{worker: w, startedAt: now}
	most := p.sizeAt(w, now) // pieces of a call that holds more than one step
	var items []call.Item
	freeBytes := p.freeBytes(w)
	queueCache := map[*pool]bool{}
	backlog := 0
	for _, q := range queue {
		backlog += len(q.step.pending)
	}
	var lacksMemory *job // the most urgent job for whose results there is no room here
	splitAllowed := backlog > splitBacklog*p.spec.Size
	for _, q := range queue {
		s := q.step
		capacity := p.spec.Size - len(items)
		if len(items) > 0 {
			capacity = min(capacity, max(0, most-len(items)))
		}
		if capacity == 0 || (w.slow() && len(items) > 0) {
			break
		}
		if !p.allowsZone(s, w, now) || sc.shouldDefer(s, now) ||
			(s.job.late && !s.job.started && sc.hasDownstreamQueue(s.job, queueCache)) {
			continue
		}
		take := min(len(s.pending), capacity)
		if lacksMemory != nil && s.needsRoomOf(lacksMemory) {
			continue
		}
		if s.spec.ResultBytes > 0 {
			take = min(take, int(max(0, freeBytes)/s.spec.ResultBytes))
		}
		if sc.policy != nil && lacksMemory == nil && !s.job.late && take < min(len(s.pending), capacity) {
			lacksMemory, p.lackedAt = s.job, now
		}
		if take == 0 || (take < len(s.pending) && len(s.pending) <= p.spec.Size && !(splitAllowed && s.maySplit())) {
			continue
		}
		pieces := slices.Clone(s.pending[:take])
		s.pending = slices.Delete(s.pending, 0, take)
		if len(s.pending) == 0 {
			s.state = stepRunning
			sc.unqueue(s)
		}
		s.job.started, s.lastCallAt = true, now
		if !s.job.late {
			updateAverage(&p.avgWait, now.Sub(s.readySince))
		}
		for _, piece := range pieces {
			items = append(items, s.item(piece, now))
		}
		bytes := int64(take) * s.spec.ResultBytes
		freeBytes -= bytes
		r.bytes += bytes
		r.parts = append(r.parts, part{step: s, pieces: pieces})
	}
	if len(items) == 0 {
		return
	}
	sc.limits.Spend(w.up.Lifetime()) // also if a release has taken the request since Wait
	sc.nextID++
	r.id = sc.nextID
	r.usual = p.usualCallTime(len(items)) + overheadPerCall
	r.reference, r.expected = w.speed.Reference(r.usual, now), w.speed.Duration(r.usual, now)
	r.timeout = max(minTimeout, timeoutFactor*r.boundedExpectation())
	updateAverage(&p.avgCallTime, r.expected)
	w.running = r
	p.countsValid = false
	w.usedBytes += r.bytes
	if w.slow() {
		w.retestAt = now.Add(retestInterval)
	}
	sc.calls[r.id] = r
	inTime, late := p.queued()
	if inTime > 0 && !w.slow() {
		updateAverage(&p.avgBatchSize, float64(len(items)))
	}
	sc.output.Batches = append(sc.output.Batches, Batch{
		ID: r.id, Upstream: w.up, Items: items, Usual: r.usual, Expected: r.expected, Timeout: r.timeout, Speed: w.speed,
		QueuedInTime: inTime, QueuedLate: late, FreeBytes: freeBytes,
	})
}

// freeBytes returns the memory that an upstream has left for results, in bytes.
func (p *pool) freeBytes(w *worker) int64 {
	return int64(usableFraction*float64(p.spec.Headroom)) - w.usedBytes - w.untracked
}

// maySplit reports whether a step that fits into one call may be split between calls when its pool has a backlog. Steps
// that other stages read stay whole because those stages need all pieces, and steps with large results because their
// results belong in one zone.
func (s *step) maySplit() bool {
	return s.job.isOutput(s.index) && s.spec.ResultBytes*int64(s.spec.Pieces) < minZoneBytes
}

// allowsZone reports whether a step may run in the zone of an upstream. A step may leave its preferred zone once it has
// waited for maxZoneWait, or when no upstream there can serve it soon.
func (p *pool) allowsZone(s *step, w *worker, now time.Time) bool {
	if s.preferredZone == "" || s.preferredZone == w.up.Zone || now.Sub(s.readySince) > maxZoneWait {
		return true
	}
	for _, other := range p.workers {
		if other.present && other.up.Zone == s.preferredZone && !now.Before(other.pausedUntil) &&
			other.speed.Slowness() < speed.SlowFactor {
			return false
		}
	}
	return true
}

// updateAverage moves an exponential moving average towards a new value.
func updateAverage[T time.Duration | float64](average *T, value T) {
	*average += T(averageSmoothing * float64(value-*average))
}
