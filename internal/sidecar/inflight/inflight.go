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

// Record is the state of one attempt that a side has received, or the tombstone of one that was canceled first.
type Record struct {
	table      *Table
	id         ident.Attempt
	state      state
	expires    time.Time          // may be forgotten from then on
	cancel     context.CancelFunc // ends the call; nil for a tombstone and after Finish
	canceled   bool
	crashEpoch uint64 // number of the latest crash when it was dispatched
}

// Dispatch marks the attempt as dispatched; it returns false if the attempt must not be sent to the upstream.
func (r *Record) Dispatch() bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state != queued {
		return false
	}
	r.state = dispatched
	r.crashEpoch = t.crash.Number
	t.queued--
	t.running++
	return true
}

// Forbid ensures that the attempt will not be dispatched; it returns false if the attempt may have run.
func (r *Record) Forbid() bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state == queued {
		t.queued--
		r.state = forbidden
	}
	return r.state == forbidden
}

// MarkInDoubt ends a queued attempt whose action may have run elsewhere.
func (r *Record) MarkInDoubt() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state == queued {
		t.queued--
		r.state = finished
	}
}

// Finish ends the attempt in any state; one that is still queued becomes forbidden.
func (r *Record) Finish() {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r.state {
	case queued:
		t.queued--
		r.state = forbidden
	case dispatched:
		t.running--
		r.state = finished
	}
	r.cancel = nil // it keeps the call's context in memory
}

// Canceled reports whether the attempt was canceled by Table.Cancel.
func (r *Record) Canceled() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.canceled
}

// Crash is one crash of the upstream.
type Crash struct {
	Number   uint64 // counts the crashes seen by this incarnation of the side, from 1
	InFlight int    // attempts that were dispatched and not finished
}

// RecordCrash records that the connection broke during the attempt; all attempts in flight at that time share one
// crash.
func (r *Record) RecordCrash() Crash {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.crashEpoch == t.crash.Number {
		t.crash = Crash{Number: t.crash.Number + 1, InFlight: t.running}
	}
	return t.crash
}

// isActive reports whether the attempt is queued or dispatched.
func (r *Record) isActive() bool { return r.state == queued || r.state == dispatched }

// duplicateFault is the error for another copy of the call.
func (r *Record) duplicateFault() *fault.Error {
	if r.state == forbidden {
		return fault.New(fault.NotRun, fault.Tombstoned, "attempt %s was canceled or refused before dispatch", r.id)
	}
	return fault.New(fault.MayHaveRun, fault.InProgress, "attempt %s was received before", r.id)
}
