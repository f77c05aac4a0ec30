package inflight

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
)

// state is how far an attempt came.
type state string

const (
	queued     state = "queued"
	dispatched state = "dispatched"
	finished   state = "finished"  // ended, and may have run here or elsewhere
	forbidden  state = "forbidden" // never dispatched, never will be
)

// Flight is one attempt at a side.
type Flight struct {
	table    *Table
	id       ident.Attempt
	state    state
	until    time.Time
	stop     context.CancelFunc
	canceled bool
	epoch    uint64 // crashes seen when it was dispatched
}

// Dispatch marks the attempt as sent; false means that it must not be sent any more.
func (f *Flight) Dispatch() bool {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.state != queued {
		return false
	}
	f.state = dispatched
	f.epoch = t.crash.Number
	t.queued--
	t.running++
	return true
}

// Forbid makes sure that the attempt will not be dispatched; false means that it was.
func (f *Flight) Forbid() bool {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.state == queued {
		t.queued--
		f.state = forbidden
	}
	return f.state == forbidden
}

// Doubt ends an attempt that was not dispatched here, but whose action may have run elsewhere.
func (f *Flight) Doubt() {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.state == queued {
		t.queued--
		f.state = finished
	}
}

// Finish ends the attempt, however far it came.
func (f *Flight) Finish() {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch f.state {
	case queued:
		t.queued--
		f.state = forbidden
	case dispatched:
		t.running--
		f.state = finished
	}
	f.stop = nil // what it holds on to is the call's
}

// Canceled says whether a cancel reached the attempt.
func (f *Flight) Canceled() bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.canceled
}

// Crash is one crash of the upstream.
type Crash struct {
	Number   uint64 // counts the crashes of this incarnation from 1
	InFlight int    // attempts that were in flight
}

// Crashed records that the upstream broke under the attempt; all attempts in flight share one crash.
func (f *Flight) Crashed() Crash {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.epoch == t.crash.Number {
		t.crash = Crash{Number: t.crash.Number + 1, InFlight: t.running}
	}
	return t.crash
}

func (f *Flight) active() bool { return f.state == queued || f.state == dispatched }

// duplicate is the answer to another copy of the call.
func (f *Flight) duplicate() *fault.Error {
	if f.state == forbidden {
		return fault.New(fault.NotRun, fault.Tombstoned, "attempt %s was canceled or refused before dispatch", f.id)
	}
	return fault.New(fault.MayHaveRun, fault.InProgress, "attempt %s was received before", f.id)
}
