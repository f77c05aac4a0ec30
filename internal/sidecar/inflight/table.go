package inflight

import (
	"context"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

const pressInterval = time.Second // between two searches of a full table for room

// Table holds the attempts of one side incarnation, each until its memory is no longer needed.
type Table struct {
	mu      sync.Mutex
	max     int
	flights map[ident.Attempt]*Flight
	horizon time.Time // mint time of the youngest request that was forgotten
	pressed time.Time // when room was last made
	queued  int
	running int
	crash   Crash // the latest
}

// New returns an empty table of at most max attempts.
func New(max int) *Table {
	return &Table{max: max, flights: map[ident.Attempt]*Flight{}}
}

// Begin enters an attempt that is remembered until timing.ClockSkew after its deadline; stop is called when it is canceled.
// It returns a *fault.Error when the attempt is known, was canceled, or may have been forgotten.
func (t *Table) Begin(id ident.Attempt, now, deadline time.Time, stop context.CancelFunc) (*Flight, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.flights[id]; f != nil {
		return nil, f.duplicate()
	}
	if t.forgotten(id) {
		return nil, fault.New(fault.NotRun, fault.Tombstoned, "request %s is older than what this side remembers", id.Request)
	}
	if !t.room(now) {
		// Nothing would stop a late copy of this call, so its verdict can't be notRun.
		return nil, fault.New(fault.MayHaveRun, fault.Overloaded, "side remembers %d attempts, its maximum", t.max)
	}
	f := &Flight{table: t, id: id, state: queued, until: deadline.Add(timing.ClockSkew), stop: stop}
	t.flights[id] = f
	t.queued++
	return f, nil
}

// Cancel stops an attempt, or leaves a tombstone for one that has not come yet, until timing.ClockSkew after its deadline.
// It returns NotRun only when the attempt was never dispatched here and never will be.
func (t *Table) Cancel(id ident.Attempt, now, deadline time.Time) fault.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := deadline.Add(timing.ClockSkew)
	f := t.flights[id]
	if f == nil {
		return t.bury(id, now, until)
	}
	if until.After(f.until) {
		f.until = until
	}
	f.canceled = true
	if f.stop != nil {
		f.stop()
	}
	if f.state == queued {
		t.queued--
		f.state = forbidden
	}
	if f.state == forbidden {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

// Sweep forgets the attempts whose time is over.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.flights {
		if !f.active() && !now.Before(f.until) {
			t.forget(id)
		}
	}
}

// room says whether another attempt can be remembered. A full table forgets what is past its deadline before
// the clock skew is over; requests of entries whose clocks lag are refused then.
func (t *Table) room(now time.Time) bool {
	if len(t.flights) < t.max {
		return true
	}
	if now.Sub(t.pressed) < pressInterval {
		return false
	}
	t.pressed = now
	for id, f := range t.flights {
		_, covered := ident.MintTime(id.Request)
		if covered && !f.active() && !now.Add(timing.ClockSkew).Before(f.until) {
			t.forget(id)
		}
	}
	return len(t.flights) < t.max
}

// forget drops an attempt; from then on unknown requests that were minted before it are refused.
func (t *Table) forget(id ident.Attempt) {
	delete(t.flights, id)
	if minted, ok := ident.MintTime(id.Request); ok && minted.After(t.horizon) {
		t.horizon = minted
	}
}

// Len returns how many attempts are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flights)
}

// Queued returns how many attempts wait for dispatch.
func (t *Table) Queued() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queued
}

// Running returns how many attempts are dispatched and not finished.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// bury keeps a tombstone; with no room for one nobody can promise that the call won't run.
func (t *Table) bury(id ident.Attempt, now, until time.Time) fault.Verdict {
	if t.forgotten(id) {
		return fault.MayHaveRun
	}
	if !t.room(now) {
		return fault.MayHaveRun
	}
	t.flights[id] = &Flight{table: t, id: id, state: forbidden, until: until, canceled: true}
	return fault.NotRun
}

// forgotten says whether an unknown attempt may be one that Sweep dropped.
func (t *Table) forgotten(id ident.Attempt) bool {
	minted, ok := ident.MintTime(id.Request)
	return ok && !minted.After(t.horizon)
}
