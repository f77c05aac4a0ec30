package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	runTimeSmoothing = 0.1 // weight of a new run time in the smoothed one
	minSweepFlows    = 64  // flows below which idle ones are kept
)

// flow holds one team's waiting calls of a size class.
type flow[V any] struct {
	team     string
	weight   float64
	startTag float64       // of start-time fair queueing: seconds charged, divided by the weight
	work     time.Duration // expected run time of the waiting calls
	jobs     *prio.Heap[*Job[V]]
	index    int // in the heap of active flows; -1 when idle
}

// queue holds the waiting calls of one size class, ordered by due time or, under overload, by fair queueing between
// teams.
type queue[V any] struct {
	class        pipe.SizeClass
	jobs         *prio.Heap[*Job[V]]
	flows        map[string]*flow[V]
	active       *prio.Heap[*flow[V]] // flows with waiting calls
	activeWeight float64
	work         time.Duration // expected run time of the waiting calls
	running      int
	served       float64       // seconds charged to the size class
	virtualTime  float64       // greatest start tag of a flow at the start of a call
	runTime      time.Duration // smoothed run time of a call
}

func newQueue[V any](class pipe.SizeClass, runTime time.Duration) *queue[V] {
	return &queue[V]{
		class:   class,
		runTime: runTime,
		flows:   map[string]*flow[V]{},
		jobs:    prio.New(dueBefore[V], func(j *Job[V], i int) { j.queueIndex = i }),
		active: prio.New(
			func(a, b *flow[V]) bool { return a.startTag < b.startTag },
			func(f *flow[V], i int) { f.index = i },
		),
	}
}

// flowOf returns the flow of a call's team. An idle flow takes the weight of the call, and no credit for its idle time.
func (q *queue[V]) flowOf(c Call) *flow[V] {
	f := q.flows[c.Team]
	if f == nil {
		f = &flow[V]{team: c.Team, index: -1}
		f.jobs = prio.New(dueBefore[V], func(j *Job[V], i int) { j.flowIndex = i })
		q.flows[c.Team] = f
	}
	if f.index < 0 {
		f.weight = weightOf(c)
		f.startTag = max(f.startTag, q.virtualTime)
	}
	return f
}

// push adds a job to the queue and its flow.
func (q *queue[V]) push(j *Job[V]) {
	f := j.flow
	q.jobs.Push(j)
	f.jobs.Push(j)
	q.work += j.cost
	f.work += j.cost
	if f.index < 0 {
		q.active.Push(f)
		q.activeWeight += f.weight
	}
}

// remove takes a job out of the queue and its flow.
func (q *queue[V]) remove(j *Job[V]) {
	f := j.flow
	q.jobs.Remove(j.queueIndex)
	f.jobs.Remove(j.flowIndex)
	q.work -= j.cost
	f.work -= j.cost
	if f.jobs.Len() == 0 {
		q.active.Remove(f.index)
		q.activeWeight -= f.weight
		q.evictIdleFlows()
	}
}

// evictIdleFlows drops idle flows whose start tag is not ahead of the virtual time. Its cost is amortized over their
// arrivals.
func (q *queue[V]) evictIdleFlows() {
	if len(q.flows) < minSweepFlows+2*q.active.Len() {
		return
	}
	for team, f := range q.flows {
		if f.index < 0 && f.startTag <= q.virtualTime {
			delete(q.flows, team)
		}
	}
}

// next returns the call due first, or under overload the first call of the flow with the least start tag.
func (q *queue[V]) next(overloaded bool) *Job[V] {
	if overloaded {
		f, _ := q.active.Min()
		j, _ := f.jobs.Min()
		return j
	}
	j, _ := q.jobs.Min()
	return j
}

// charge counts a job that starts, and charges its expected run time to its flow and size class.
func (q *queue[V]) charge(j *Job[V]) {
	f := j.flow
	q.running++
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += j.cost.Seconds() / f.weight
	q.served += j.cost.Seconds()
	if f.index >= 0 {
		q.active.Fix(f.index)
	}
}

func (q *queue[V]) observeRunTime(d time.Duration) {
	q.runTime += time.Duration(runTimeSmoothing * float64(d-q.runTime))
}

func weightOf(c Call) float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}
