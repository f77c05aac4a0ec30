package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	defaultMaxWait  = 2 * time.Second
	defaultAgeAfter = 2 * time.Second
	defaultHold     = 100 * time.Millisecond
	minRetryAfter   = 100 * time.Millisecond
	longFactor      = 2
	priorityStep    = 100 * time.Millisecond
	sureFraction    = 4   // one slot in so many is sure for each size class, beyond the limit if need be
	slackPart       = 0.6 // of a call's slack that its expected wait may take, as the estimate may be short
	fairFraction    = 8   // overload begins at this part of the longest wait
)

// Options configure a scheduler.
type Options struct {
	// Limit bounds the calls running at once.
	Limit adapt.Options
	// MaxWait is the longest expected wait that is accepted of a short call, half that of a long one; 0 means 2 s.
	MaxWait time.Duration
	// AgeAfter orders a call as if due this long after its arrival at the latest; 0 means 2 s.
	AgeAfter time.Duration
	// Hold is the run time assumed for a call before any is measured; 0 means 100 ms.
	Hold time.Duration
}

// WithDefaults returns a copy with each unset bound filled in.
func (o Options) WithDefaults() Options {
	o.Limit = o.Limit.WithDefaults()
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.AgeAfter <= 0 {
		o.AgeAfter = defaultAgeAfter
	}
	if o.Hold <= 0 {
		o.Hold = defaultHold
	}
	return o
}

// Load is what a scheduler says of itself.
type Load struct {
	Running   int
	Queued    int
	Limit     int
	Latency   time.Duration // smoothed running time
	ShortWait time.Duration // expected wait of a new short call
	LongWait  time.Duration // expected wait of a new long call
}

// Scheduler orders the calls of one upstream; it is not safe for concurrent use.
type Scheduler[V any] struct {
	opts      Options
	limit     *adapt.Limit
	short     *lane[V]
	long      *lane[V]
	alone     *prio.Heap[*Job[V]]
	expiry    *prio.Heap[*Job[V]]
	running   int
	exclusive bool // a call that must be alone is running
	yield     bool // others go before the next call that must be alone
	latency   time.Duration
	seq       uint64
}

// New returns an idle scheduler.
func New[V any](o Options) *Scheduler[V] {
	o = o.WithDefaults()
	return &Scheduler[V]{
		opts:   o,
		limit:  adapt.New(o.Limit),
		short:  newLane[V](pipe.Short, o.Hold),
		long:   newLane[V](pipe.Long, o.Hold),
		alone:  prio.New(sooner[V], func(j *Job[V], i int) { j.laneIndex = i }),
		expiry: prio.New(expiresSooner[V], func(j *Job[V], i int) { j.expiryIndex = i }),
	}
}

// SetLimit replaces the bounds and the target of the concurrency limit.
func (s *Scheduler[T]) SetLimit(o adapt.Options) { s.limit.Set(o) }

// Load returns the present load.
func (s *Scheduler[V]) Load() Load {
	return Load{
		Running:   s.running,
		Queued:    s.expiry.Len(),
		Limit:     s.limit.Value(),
		Latency:   s.latency,
		ShortWait: s.wait(s.short, s.long, s.short.work),
		LongWait:  s.wait(s.long, s.short, s.long.work),
	}
}

// Offer queues a call, or refuses it with a NotRun *fault.Error when it is not expected to finish; call Next after it.
func (s *Scheduler[V]) Offer(t Call, value V, now time.Time) (*Job[V], error) {
	l := s.laneOf(t)
	cost := t.Estimate
	if cost <= 0 {
		cost = l.hold
	}
	slack := t.Remaining - t.LaterStages - cost
	if slack < 0 {
		return nil, fault.New(fault.NotRun, fault.TooLate,
			"needs %v of the remaining %v", cost+t.LaterStages, t.Remaining)
	}
	f := l.flowOf(t)
	longest := min(time.Duration(slackPart*float64(slack)), s.maxWait(l))
	if wait := s.expectedWait(l, f, t); wait > longest {
		return nil, fault.New(fault.NotRun, fault.Overloaded, "expected wait of %v is too long", wait).
			WithRetryAfter(max(minRetryAfter, wait-longest))
	}
	s.seq++
	j := &Job[V]{
		Call: t, Value: value, state: Queued, arrived: now, cost: cost, seq: s.seq,
		lane: l, flow: f, latestStart: now.Add(slack),
		due: now.Add(min(slack, s.opts.AgeAfter) + time.Duration(t.Priority)*priorityStep),
	}
	s.expiry.Push(j)
	if t.Exclusive {
		s.alone.Push(j)
	} else {
		l.push(j)
	}
	return j, nil
}

// maxWait is the longest expected wait that is accepted of a size class.
func (s *Scheduler[V]) maxWait(l *lane[V]) time.Duration {
	if l == s.long {
		return longFactor * s.opts.MaxWait
	}
	return s.opts.MaxWait
}

// Next returns a job that may start now, or with an error one that can no longer finish; nil when there is none.
func (s *Scheduler[V]) Next(now time.Time) (*Job[V], error) {
	if j, ok := s.expiry.Min(); ok && j.latestStart.Before(now) {
		s.Remove(j)
		return j, fault.New(fault.NotRun, fault.TooLate, "waited %v and can no longer finish", now.Sub(j.arrived)).
			WithRetryAfter(max(minRetryAfter, s.opts.MaxWait/fairFraction))
	}
	j := s.choose()
	if j != nil {
		s.start(j, now)
	}
	return j, nil
}

// Finish ends a running job; call Next after it.
func (s *Scheduler[V]) Finish(j *Job[V], now time.Time, r Result) {
	if j.state != Running {
		return
	}
	j.state = Finished
	held := now.Sub(j.started)
	if r.Latency <= 0 {
		r.Latency = held
	}
	if !r.Failed {
		j.lane.observeHold(held)
		s.latency += time.Duration(holdSmoothing * float64(held-s.latency))
	}
	s.limit.Observe(r.Latency, r.Failed, s.running)
	s.running--
	j.lane.running--
	if j.Call.Exclusive {
		s.exclusive = false
		s.yield = true
	}
}

// Abandon ends a running job without a result; call Next after it.
func (s *Scheduler[V]) Abandon(j *Job[V]) {
	if j.state != Running {
		return
	}
	j.state = Finished
	s.running--
	j.lane.running--
	if j.Call.Exclusive {
		s.exclusive = false
	}
}

// Remove takes a queued job out; false if it had left the queue.
func (s *Scheduler[V]) Remove(j *Job[V]) bool {
	if j.state != Queued {
		return false
	}
	s.unqueue(j)
	j.state = Finished
	return true
}

// Wakeup is when Next has to be called at the latest; false when nothing waits.
func (s *Scheduler[V]) Wakeup() (time.Time, bool) {
	j, ok := s.expiry.Min()
	if !ok {
		return time.Time{}, false
	}
	return j.latestStart.Add(1), true
}

func (s *Scheduler[V]) unqueue(j *Job[V]) {
	s.expiry.Remove(j.expiryIndex)
	if j.Call.Exclusive {
		s.alone.Remove(j.laneIndex)
	} else {
		j.lane.remove(j)
	}
}

func (s *Scheduler[V]) start(j *Job[V], now time.Time) {
	s.unqueue(j)
	j.state = Running
	j.started = now
	j.Waited = now.Sub(j.arrived)
	s.running++
	j.lane.charge(j)
	s.exclusive = j.Call.Exclusive
	s.yield = false
}

func (s *Scheduler[V]) choose() *Job[V] {
	if s.exclusive {
		return nil
	}
	if j, ok := s.alone.Min(); ok && !(s.yield && s.waiting() > 0) {
		if s.running > 0 {
			return nil
		}
		return j
	}
	l := s.chooseLane()
	if l == nil {
		return nil
	}
	return l.next(s.overloaded(l))
}

func (s *Scheduler[V]) waiting() int { return s.short.jobs.Len() + s.long.jobs.Len() }

func (s *Scheduler[V]) chooseLane() *lane[V] {
	short := s.open(s.short)
	long := s.open(s.long)
	switch {
	case short && long:
		s.levelServed()
		if s.long.served < s.short.served {
			return s.long
		}
		return s.short
	case short:
		return s.short
	case long:
		return s.long
	}
	return nil
}

// levelServed bounds the credit that a size class gathers while it has nothing to do.
func (s *Scheduler[V]) levelServed() {
	credit := s.opts.MaxWait.Seconds()
	s.short.served = max(s.short.served, s.long.served-credit)
	s.long.served = max(s.long.served, s.short.served-credit)
}

// open says whether a call of the lane may start: a few may even when the other size class has taken every slot.
func (s *Scheduler[V]) open(l *lane[V]) bool {
	limit := s.limit.Value()
	return l.jobs.Len() > 0 && (s.running < limit || l.running < limit/sureFraction)
}

func (s *Scheduler[V]) overloaded(l *lane[V]) bool {
	return l.work/time.Duration(s.limit.Value()) > s.opts.MaxWait/fairFraction
}

// expectedWait is the time until a call of flow f would start.
func (s *Scheduler[V]) expectedWait(l *lane[V], f *flow[V], t Call) time.Duration {
	other := s.long
	if l == s.long {
		other = s.short
	}
	if s.running < s.limit.Value() && l.jobs.Len() == 0 && !s.exclusive {
		return 0
	}
	ahead := l.work
	if s.overloaded(l) {
		ahead = min(ahead, fairWork(l, f, t))
	}
	return s.wait(l, other, ahead)
}

// wait is the time until work ahead of a call in lane l has started.
func (s *Scheduler[V]) wait(l, other *lane[V], ahead time.Duration) time.Duration {
	if s.running < s.limit.Value() && l.jobs.Len() == 0 {
		return 0
	}
	return time.Duration(float64(ahead+l.hold) / s.slots(other))
}

// slots is how many calls of the size class that shares the upstream with other run at once in the near future:
// halfway between what the other leaves now and the fair part.
func (s *Scheduler[V]) slots(other *lane[V]) float64 {
	limit := s.limit.Value()
	fair := float64(limit)
	if other.jobs.Len() > 0 {
		fair /= 2
	}
	left := max(1, limit/sureFraction, limit-other.running)
	return (float64(left) + fair) / 2
}

// fairWork is what is served before a new call of flow f when each team gets its weight.
func fairWork[V any](l *lane[V], f *flow[V], t Call) time.Duration {
	weights := l.weights
	if f.index < 0 {
		weights += weightOf(t)
	}
	debt := max(0, f.served-l.floor) * f.weight
	own := f.work.Seconds() + debt
	return time.Duration(own * weights / f.weight * float64(time.Second))
}

func (s *Scheduler[V]) laneOf(t Call) *lane[V] {
	if t.SizeClass == pipe.Long {
		return s.long
	}
	return s.short
}
