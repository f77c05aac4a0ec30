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
	defaultRunTime  = 100 * time.Millisecond
	minRetryAfter   = 100 * time.Millisecond
	// longWaitFactor is how many times MaxWait a long call may wait.
	longWaitFactor = 2
	// priorityStep delays the due time of a call for each step of its priority.
	priorityStep = 100 * time.Millisecond
	// reservedDivisor divides the limit into the calls that a size class may run even when the other uses every slot,
	// beyond the limit if need be.
	reservedDivisor = 4
	// slackFraction is the part of a call's slack that its expected wait may use, as the estimate may be too short.
	slackFraction = 0.6
	// overloadDivisor divides MaxWait into the expected wait from which a queue is overloaded.
	overloadDivisor = 8
)

// Options configure a scheduler.
type Options struct {
	// Limit bounds the calls running at once.
	Limit adapt.Options
	// MaxWait is the longest accepted expected wait of a short call; a long call may wait twice as long. 0 means 2 s.
	MaxWait time.Duration
	// AgeAfter bounds the time from the arrival to the due time that orders the queue, so that no call starves;
	// 0 means 2 s.
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
		o.Hold = defaultRunTime
	}
	return o
}

// Load is the load of a scheduler.
type Load struct {
	Running   int
	Queued    int
	Limit     int
	Latency   time.Duration // smoothed run time
	ShortWait time.Duration // expected wait of a new short call
	LongWait  time.Duration // expected wait of a new long call
}

// Scheduler orders the calls of one upstream; it is not safe for concurrent use.
type Scheduler[V any] struct {
	opts             Options
	limit            *adapt.Limit
	short            *queue[V]
	long             *queue[V]
	exclusiveQueue   *prio.Heap[*Job[V]] // waiting exclusive calls of both size classes
	expiry           *prio.Heap[*Job[V]] // all waiting calls, by their latest start
	running          int
	exclusiveRunning bool          // an exclusive call is running
	yieldExclusive   bool          // other waiting calls go before the next exclusive one
	latency          time.Duration // smoothed run time
	seq              uint64        // of the newest job
}

// New returns an idle scheduler.
func New[V any](o Options) *Scheduler[V] {
	o = o.WithDefaults()
	return &Scheduler[V]{
		opts:           o,
		limit:          adapt.New(o.Limit),
		short:          newQueue[V](pipe.Short, o.Hold),
		long:           newQueue[V](pipe.Long, o.Hold),
		exclusiveQueue: prio.New(dueBefore[V], func(j *Job[V], i int) { j.queueIndex = i }),
		expiry:         prio.New(expiresBefore[V], func(j *Job[V], i int) { j.expiryIndex = i }),
	}
}

// SetLimit replaces the bounds and the target of the concurrency limit.
func (s *Scheduler[V]) SetLimit(o adapt.Options) { s.limit.Set(o) }

// Load returns the current load.
func (s *Scheduler[V]) Load() Load {
	return Load{
		Running:   s.running,
		Queued:    s.expiry.Len(),
		Limit:     s.limit.Value(),
		Latency:   s.latency,
		ShortWait: s.waitAfter(s.short, s.long, s.short.work),
		LongWait:  s.waitAfter(s.long, s.short, s.long.work),
	}
}

// Offer queues a call, or refuses it with a NotRun *fault.Error when it is not expected to finish in time. Call Next
// after it.
func (s *Scheduler[V]) Offer(c Call, value V, now time.Time) (*Job[V], error) {
	q := s.queueOf(c)
	cost := c.Estimate
	if cost <= 0 {
		cost = q.runTime
	}
	slack := c.Remaining - c.LaterStages - cost
	if slack < 0 {
		return nil, fault.New(fault.NotRun, fault.TooLate,
			"needs %v of the remaining %v", cost+c.LaterStages, c.Remaining)
	}
	f := q.flowOf(c)
	longest := min(time.Duration(slackFraction*float64(slack)), s.maxWait(q))
	if wait := s.expectedWait(q, f, c); wait > longest {
		return nil, fault.New(fault.NotRun, fault.Overloaded, "expected wait of %v is too long", wait).
			WithRetryAfter(max(minRetryAfter, wait-longest))
	}
	s.seq++
	j := &Job[V]{
		Call: c, Value: value, state: Queued, arrived: now, cost: cost, seq: s.seq,
		queue: q, flow: f, latestStart: now.Add(slack),
		due: now.Add(min(slack, s.opts.AgeAfter) + time.Duration(c.Priority)*priorityStep),
	}
	s.expiry.Push(j)
	if c.Exclusive {
		s.exclusiveQueue.Push(j)
	} else {
		q.push(j)
	}
	return j, nil
}

// maxWait returns the longest accepted expected wait of a size class.
func (s *Scheduler[V]) maxWait(q *queue[V]) time.Duration {
	if q == s.long {
		return longWaitFactor * s.opts.MaxWait
	}
	return s.opts.MaxWait
}

// Next returns a job to start now, or one that can no longer finish in time together with an error; nil when there is
// neither.
func (s *Scheduler[V]) Next(now time.Time) (*Job[V], error) {
	if j, ok := s.expiry.Min(); ok && j.latestStart.Before(now) {
		s.Remove(j)
		return j, fault.New(fault.NotRun, fault.TooLate, "waited %v and can no longer finish", now.Sub(j.arrived)).
			WithRetryAfter(max(minRetryAfter, s.opts.MaxWait/overloadDivisor))
	}
	j := s.selectJob()
	if j != nil {
		s.start(j, now)
	}
	return j, nil
}

// Finish ends a running job and learns from its result. Call Next after it.
func (s *Scheduler[V]) Finish(j *Job[V], now time.Time, r Result) {
	if j.state != Running {
		return
	}
	j.state = Finished
	runTime := now.Sub(j.started)
	if r.Latency <= 0 {
		r.Latency = runTime
	}
	if !r.Failed {
		j.queue.observeRunTime(runTime)
		s.latency += time.Duration(runTimeSmoothing * float64(runTime-s.latency))
	}
	s.limit.Observe(r.Latency, r.Failed, s.running)
	s.running--
	j.queue.running--
	if j.Call.Exclusive {
		s.exclusiveRunning = false
		s.yieldExclusive = true
	}
}

// Abandon ends a running job without a result. Call Next after it.
func (s *Scheduler[V]) Abandon(j *Job[V]) {
	if j.state != Running {
		return
	}
	j.state = Finished
	s.running--
	j.queue.running--
	if j.Call.Exclusive {
		s.exclusiveRunning = false
	}
}

// Remove takes a job out of the queue; false if it had already left.
func (s *Scheduler[V]) Remove(j *Job[V]) bool {
	if j.state != Queued {
		return false
	}
	s.dequeue(j)
	j.state = Finished
	return true
}

// Wakeup returns the time at which Next must be called at the latest; false when nothing waits.
func (s *Scheduler[V]) Wakeup() (time.Time, bool) {
	j, ok := s.expiry.Min()
	if !ok {
		return time.Time{}, false
	}
	return j.latestStart.Add(1), true // a nanosecond later, as a job may still start at its latest start
}

// dequeue takes a waiting job out of all heaps.
func (s *Scheduler[V]) dequeue(j *Job[V]) {
	s.expiry.Remove(j.expiryIndex)
	if j.Call.Exclusive {
		s.exclusiveQueue.Remove(j.queueIndex)
	} else {
		j.queue.remove(j)
	}
}

func (s *Scheduler[V]) start(j *Job[V], now time.Time) {
	s.dequeue(j)
	j.state = Running
	j.started = now
	j.Waited = now.Sub(j.arrived)
	s.running++
	j.queue.charge(j)
	s.exclusiveRunning = j.Call.Exclusive
	s.yieldExclusive = false
}

// selectJob returns the job to start next; nil while none may start. An exclusive call that waits keeps others from
// starting, except for one after each exclusive call.
func (s *Scheduler[V]) selectJob() *Job[V] {
	if s.exclusiveRunning {
		return nil
	}
	if j, ok := s.exclusiveQueue.Min(); ok && !(s.yieldExclusive && s.waiting() > 0) {
		if s.running > 0 {
			return nil
		}
		return j
	}
	q := s.selectQueue()
	if q == nil {
		return nil
	}
	return q.next(s.overloaded(q))
}

// waiting returns the number of calls that wait and are not exclusive.
func (s *Scheduler[V]) waiting() int { return s.short.jobs.Len() + s.long.jobs.Len() }

// selectQueue returns the queue that may start a call, the one charged less if both may; nil if none may.
func (s *Scheduler[V]) selectQueue() *queue[V] {
	short := s.canStart(s.short)
	long := s.canStart(s.long)
	switch {
	case short && long:
		s.boundCredit()
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

// boundCredit bounds the credit that a size class builds up while it is idle.
func (s *Scheduler[V]) boundCredit() {
	credit := s.opts.MaxWait.Seconds()
	s.short.served = max(s.short.served, s.long.served-credit)
	s.long.served = max(s.long.served, s.short.served-credit)
}

// canStart reports whether a call of the queue may start. Some may even when the other size class uses every slot.
func (s *Scheduler[V]) canStart(q *queue[V]) bool {
	limit := s.limit.Value()
	return q.jobs.Len() > 0 && (s.running < limit || q.running < limit/reservedDivisor)
}

// overloaded reports whether the expected wait in a queue is long enough to share between teams by fair queueing.
func (s *Scheduler[V]) overloaded(q *queue[V]) bool {
	return q.work/time.Duration(s.limit.Value()) > s.opts.MaxWait/overloadDivisor
}

// expectedWait returns the time until a new call of flow f would start.
func (s *Scheduler[V]) expectedWait(q *queue[V], f *flow[V], c Call) time.Duration {
	other := s.long
	if q == s.long {
		other = s.short
	}
	if s.running < s.limit.Value() && q.jobs.Len() == 0 && !s.exclusiveRunning {
		return 0
	}
	ahead := q.work
	if s.overloaded(q) {
		ahead = min(ahead, fairWork(q, f, c))
	}
	return s.waitAfter(q, other, ahead)
}

// waitAfter returns the time until a new call of queue q would start with the given work ahead of it.
func (s *Scheduler[V]) waitAfter(q, other *queue[V], ahead time.Duration) time.Duration {
	if s.running < s.limit.Value() && q.jobs.Len() == 0 {
		return 0
	}
	return time.Duration(float64(ahead+q.runTime) / s.expectedSlots(other))
}

// expectedSlots returns how many calls of a size class are expected to run at once in the near future: the mean of what
// the other size class leaves free now and a fair share.
func (s *Scheduler[V]) expectedSlots(other *queue[V]) float64 {
	limit := s.limit.Value()
	fair := float64(limit)
	if other.jobs.Len() > 0 {
		fair /= 2
	}
	available := max(1, limit/reservedDivisor, limit-other.running)
	return (float64(available) + fair) / 2
}

// fairWork returns the work that weighted fair queueing starts before a new call of flow f. While it serves the waiting
// work of f, it serves the other active flows in proportion to their weights.
func fairWork[V any](q *queue[V], f *flow[V], c Call) time.Duration {
	weights := q.activeWeight
	if f.index < 0 {
		weights += weightOf(c)
	}
	// Seconds of work by which the flow is ahead of its fair share.
	excess := max(0, f.startTag-q.virtualTime) * f.weight
	own := f.work.Seconds() + excess
	return time.Duration(own * weights / f.weight * float64(time.Second))
}

func (s *Scheduler[V]) queueOf(c Call) *queue[V] {
	if c.SizeClass == pipe.Long {
		return s.long
	}
	return s.short
}
