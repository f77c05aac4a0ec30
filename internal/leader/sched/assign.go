package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
)

// assign gives free upstreams of a pool the most urgent steps.
func (b *Scheduler) assign(p *pool, now time.Time) {
	if len(p.ready) == 0 {
		return
	}
	for _, s := range p.ready {
		if !s.job.late && now.Add(b.expected(s)).After(s.job.Target) {
			s.job.late = true
		}
	}
	free := p.free(now)
	if len(free) == 0 {
		return
	}
	queue := make([]queued, len(p.ready))
	for i, s := range p.ready {
		queue[i] = queued{step: s, urgency: b.urgency(s)}
	}
	hasHomes := slices.ContainsFunc(queue, func(q queued) bool { return q.step.home != "" })
	byZone := map[string][]queued{}
	for _, w := range free {
		if len(p.ready) == 0 {
			return
		}
		zone := w.up.Zone
		if !hasHomes {
			zone = "" // the order is the same everywhere
		}
		if byZone[zone] == nil {
			byZone[zone] = slices.Clone(queue)
			slices.SortStableFunc(byZone[zone], func(a, c queued) int {
				return cmp.Or(falseFirst(a.step.job.late, c.step.job.late), cmp.Compare(a.at(zone), c.at(zone)))
			})
		}
		byZone[zone] = slices.DeleteFunc(byZone[zone], func(q queued) bool { return q.step.state != stepReady })
		b.load(p, w, byZone[zone], now)
	}
}

// queued is a step that waits for a call.
type queued struct {
	step    *step
	urgency int64
}

// at is the urgency of the step at the upstreams of a zone.
func (q queued) at(zone string) int64 {
	if q.step.home != "" && q.step.home != zone {
		return q.urgency + int64(homeWorth)
	}
	return q.urgency
}

// falseFirst compares two flags, as cmp.Compare does with other values.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// urgency is when a step has to begin at the latest, as Unix nanoseconds, less what its rank is worth.
func (b *Scheduler) urgency(s *step) int64 {
	return s.job.Target.Add(-b.shortest(s)).UnixNano() + int64(s.job.Rank)*int64(rankStep)
}

// shortest is the least time from the start of a step to the first byte of the answer.
func (b *Scheduler) shortest(s *step) time.Duration {
	return b.duration(s) + b.tail(s.job, s.index) + s.job.FinalStep
}

// expected is the time from the start of a step to the first byte; what has not begun yet meets the usual waits.
func (b *Scheduler) expected(s *step) time.Duration {
	return b.usualCall(s) + b.usualTail(s.job, s.index) + s.job.FinalStep + forecastMargin
}

// usualTail is the usual time of the stages that follow one.
func (b *Scheduler) usualTail(j *job, index int) time.Duration {
	var longest time.Duration
	for i, s := range j.steps {
		p := b.pools[s.spec.Pool]
		if s.spec.Pieces > 0 && p != nil && slices.Contains(s.spec.After, index) {
			longest = max(longest, p.wait+b.usualCall(s)+b.usualTail(j, i))
		}
	}
	return longest
}

// tail is the least time of the stages that follow one.
func (b *Scheduler) tail(j *job, index int) time.Duration {
	var longest time.Duration
	for i, s := range j.steps {
		if s.spec.Pieces > 0 && slices.Contains(s.spec.After, index) {
			longest = max(longest, b.duration(s)+b.tail(j, i))
		}
	}
	return longest
}

// duration is the time of a call for the pieces of a step alone.
func (b *Scheduler) duration(s *step) time.Duration {
	p := b.pools[s.spec.Pool]
	if p == nil {
		return 0
	}
	return p.callTime(min(s.spec.Pieces, p.spec.Size)) + overheadPerCall
}

// usualCall is the time that a call takes with a step in it: as long as usual, or longer if the step needs it.
func (b *Scheduler) usualCall(s *step) time.Duration {
	return max(b.duration(s), b.pools[s.spec.Pool].call)
}

// callTime is the work of a call for a number of pieces.
func (p *pool) callTime(pieces int) time.Duration {
	return p.spec.Call + time.Duration(pieces)*p.spec.Piece
}

// free lists the upstreams that can take a call, the best first.
func (p *pool) free(now time.Time) []*worker {
	var out []*worker
	for _, w := range p.workers {
		switch {
		case !w.present || w.running != nil:
		case now.Before(w.paused) || now.Before(w.fullTill):
		case w.slow() && now.Before(w.retest):
		default:
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, c *worker) int {
		return cmp.Or(falseFirst(a.slow(), c.slow()), cmp.Compare(a.used+a.foreign, c.used+c.foreign), cmp.Compare(a.up.ID, c.up.ID))
	})
	return out
}

// load builds a call for a free upstream from the steps that wait, in order.
func (b *Scheduler) load(p *pool, w *worker, queue []queued, now time.Time) {
	r := &running{worker: w, begun: now}
	var items []call.Item
	room := int64(roomPart*float64(p.spec.Headroom)) - w.used - w.foreign
	queues := map[*pool]bool{}
	backlog := 0
	for _, q := range queue {
		backlog += len(q.step.pending)
	}
	isShared := backlog > fullCalls*p.spec.Size
	for _, q := range queue {
		s := q.step
		free := p.spec.Size - len(items)
		if free == 0 || (w.slow() && len(items) > 0) {
			break
		}
		if !p.fits(s, w, now) || b.early(s, now) || (s.job.late && !s.job.started && b.backedUp(s.job, queues)) {
			continue
		}
		take := min(len(s.pending), free)
		if s.spec.ResultBytes > 0 {
			take = min(take, int(max(0, room)/s.spec.ResultBytes))
		}
		if take == 0 || (take < len(s.pending) && len(s.pending) <= p.spec.Size && !(isShared && s.divides())) {
			continue
		}
		pieces := slices.Clone(s.pending[:take])
		s.pending = slices.Delete(s.pending, 0, take)
		if len(s.pending) == 0 {
			s.state = stepRunning
			b.unqueue(s)
		}
		s.job.started, s.begun = true, now
		if !s.job.late {
			smooth(&p.wait, now.Sub(s.since))
		}
		for _, piece := range pieces {
			items = append(items, s.item(piece, now))
		}
		bytes := int64(take) * s.spec.ResultBytes
		room -= bytes
		r.bytes += bytes
		r.parts = append(r.parts, part{step: s, pieces: pieces})
	}
	if len(items) == 0 {
		return
	}
	b.nextID++
	r.id = b.nextID
	r.expected = p.callTime(len(items)) + overheadPerCall
	r.limit = max(leastLimit, limitFactor*r.expected)
	smooth(&p.call, r.expected)
	w.running = r
	p.counted = false
	w.used += r.bytes
	if w.slow() {
		w.retest = now.Add(retestEvery)
	}
	b.calls[r.id] = r
	inTime, late := p.queued()
	if inTime > 0 && !w.slow() {
		smooth(&p.fill, float64(len(items)))
	}
	b.out.Batches = append(b.out.Batches, Batch{
		ID: r.id, Upstream: w.up, Items: items, Expected: r.expected, Limit: r.limit, InTime: inTime, Late: late, Room: room,
	})
}

// divides says whether calls may share the pieces of a step that fits into one, while others wait. They stay together for
// the sake of stages that read them, and where they are large.
func (s *step) divides() bool {
	return s.job.last(s.index) && s.spec.ResultBytes*int64(s.spec.Pieces) < minHomeBytes
}

// fits says whether a step should run at an upstream.
func (p *pool) fits(s *step, w *worker, now time.Time) bool {
	if s.home == "" || s.home == w.up.Zone || now.Sub(s.since) > crossAfter {
		return true
	}
	for _, other := range p.workers {
		if other.present && other.up.Zone == s.home && !now.Before(other.paused) && other.speed < slowFactor {
			return false
		}
	}
	return true
}

// smooth moves an average towards a new value.
func smooth[T time.Duration | float64](average *T, value T) {
	*average += T(loadSmoothing * float64(value-*average))
}
