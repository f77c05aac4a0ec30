package inflight

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
)

// state is the state of an attempt; queued and dispatched attempts are active.
type state string

const (
	queued     state = "queued"
	dispatched state = "dispatched"
	finished   state = "finished"  // ended and may have run, here or elsewhere
	forbidden  state = "forbidden" // was never dispatched and never will be
)

// Flight is one attempt that a side has received, or the tombstone of one that was canceled first.
type Flight struct {
	table      *Table
	id         ident.Attempt
	state      state
	expires    time.Time
	cancel     context.CancelFunc
	canceled   bool
	crashEpoch uint64 // number of the latest crash when it was dispatched
}

// Dispatch marks the attempt as dispatched; it returns false if the attempt must not be sent to the upstream.
func (f *Flight) Dispatch() bool {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.state != queued {
		return false
	}
	f.state = dispatched
	f.crashEpoch = t.crash.Number
	t.queued--
	t.running++
	return true
}

// Forbid ensures that the attempt will not be dispatched; it returns false if the attempt may have run.
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

// Doubt ends a queued attempt whose action may have run elsewhere.
func (f *Flight) Doubt() {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.state == queued {
		t.queued--
		f.state = finished
	}
}

// Finish ends the attempt in any state; one that is still queued becomes forbidden.
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
	f.cancel = nil // it keeps the call's context in memory
}

// Canceled reports whether the attempt was canceled by Table.Cancel.
func (f *Flight) Canceled() bool {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	return f.canceled
}

// Crash is one crash of the upstream.
type Crash struct {
	Number   uint64 // counts the crashes seen by this incarnation of the side, from 1
	InFlight int    // attempts that were dispatched and not finished
}

// Crashed records that the connection broke during the attempt; all attempts in flight at that time share one crash.
func (f *Flight) Crashed() Crash {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.crashEpoch == t.crash.Number {
		t.crash = Crash{Number: t.crash.Number + 1, InFlight: t.running}
	}
	return t.crash
}

func (f *Flight) isActive() bool { return f.state == queued || f.state == dispatched }

// duplicateFault is the error for another copy of the call.
func (f *Flight) duplicateFault() *fault.Error {
	if f.state == forbidden {
		return fault.New(fault.NotRun, fault.Tombstoned, "attempt %s was canceled or refused before dispatch", f.id)
	}
	return fault.New(fault.MayHaveRun, fault.InProgress, "attempt %s was received before", f.id)
}
