package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	holdSmoothing = 0.1
	sparedFlows   = 64
)

// flow is one team's calls in a lane.
type flow[V any] struct {
	team   string
	weight float64
	served float64 // weighted seconds charged to the team, the virtual time of fair queueing
	work   time.Duration
	jobs   *prio.Heap[*Job[V]]
	index  int
}

// lane holds the calls of one size class.
type lane[V any] struct {
	class   pipe.SizeClass
	jobs    *prio.Heap[*Job[V]]
	flows   map[string]*flow[V]
	active  *prio.Heap[*flow[V]]
	weights float64 // of the active flows
	work    time.Duration
	running int
	served  float64 // seconds charged to the lane
	floor   float64 // virtual time of the last start
	hold    time.Duration
}

func newLane[V any](class pipe.SizeClass, hold time.Duration) *lane[V] {
	return &lane[V]{
		class: class,
		hold:  hold,
		flows: map[string]*flow[V]{},
		jobs:  prio.New(sooner[V], func(j *Job[V], i int) { j.laneIndex = i }),
		active: prio.New(
			func(a, b *flow[V]) bool { return a.served < b.served },
			func(f *flow[V], i int) { f.index = i },
		),
	}
}

func (l *lane[V]) flowOf(t Call) *flow[V] {
	f := l.flows[t.Team]
	if f == nil {
		f = &flow[V]{team: t.Team, index: -1}
		f.jobs = prio.New(sooner[V], func(j *Job[V], i int) { j.flowIndex = i })
		l.flows[t.Team] = f
	}
	if f.index < 0 {
		f.weight = weightOf(t)
		f.served = max(f.served, l.floor)
	}
	return f
}

func (l *lane[V]) push(j *Job[V]) {
	f := j.flow
	l.jobs.Push(j)
	f.jobs.Push(j)
	l.work += j.cost
	f.work += j.cost
	if f.index < 0 {
		l.active.Push(f)
		l.weights += f.weight
	}
}

func (l *lane[V]) remove(j *Job[V]) {
	f := j.flow
	l.jobs.Remove(j.laneIndex)
	f.jobs.Remove(j.flowIndex)
	l.work -= j.cost
	f.work -= j.cost
	if f.jobs.Len() == 0 {
		l.active.Remove(f.index)
		l.weights -= f.weight
		l.sweep()
	}
}

// sweep forgets idle teams that owe nothing, at a cost amortized over their arrivals.
func (l *lane[V]) sweep() {
	if len(l.flows) < sparedFlows+2*l.active.Len() {
		return
	}
	for team, f := range l.flows {
		if f.index < 0 && f.served <= l.floor {
			delete(l.flows, team)
		}
	}
}

// next returns the most urgent call, or under overload that of the team served least.
func (l *lane[V]) next(overloaded bool) *Job[V] {
	if overloaded {
		f, _ := l.active.Min()
		j, _ := f.jobs.Min()
		return j
	}
	j, _ := l.jobs.Min()
	return j
}

func (l *lane[V]) charge(j *Job[V]) {
	f := j.flow
	l.running++
	l.floor = max(l.floor, f.served)
	f.served += j.cost.Seconds() / f.weight
	l.served += j.cost.Seconds()
	if f.index >= 0 {
		l.active.Fix(f.index)
	}
}

func (l *lane[V]) observeHold(d time.Duration) {
	l.hold += time.Duration(holdSmoothing * float64(d-l.hold))
}

func weightOf(t Call) float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}
