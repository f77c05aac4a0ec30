package trial

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
)

var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

type event struct {
	at    time.Time
	seq   uint64
	run   func()
	index int
}

// loop runs events in the order of their virtual times, and those of the same time in the order of scheduling.
type loop struct {
	now    time.Time
	seq    uint64
	events *prio.Heap[*event]
}

func newLoop() *loop {
	less := func(a, b *event) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	}
	return &loop{now: epoch, events: prio.New(less, func(e *event, i int) { e.index = i })}
}

func (l *loop) after(d time.Duration, run func()) *event {
	l.seq++
	e := &event{at: l.now.Add(max(0, d)), seq: l.seq, run: run}
	l.events.Push(e)
	return e
}

func (l *loop) cancel(e *event) {
	if e != nil && e.index >= 0 {
		l.events.Remove(e.index)
	}
}

func (l *loop) runUntil(end time.Time) {
	for {
		e, ok := l.events.Min()
		if !ok || e.at.After(end) {
			return
		}
		l.events.Remove(0)
		l.now = e.at
		e.run()
	}
}

func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
