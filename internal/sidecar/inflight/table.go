package inflight

import (
	"context"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

const purgeInterval = time.Second // least time between two purges of a full table

// Table holds the attempts that one incarnation of a side has received, each until no copy of it can be accepted.
type Table struct {
	mu              sync.Mutex
	max             int
	attempts        map[ident.Attempt]*Record
	newestForgotten time.Time // latest mint time of a request that was forgotten
	purgedAt        time.Time // time of the last purge
	queued          int
	running         int
	crash           Crash // the latest
}

// New returns an empty table of at most max attempts.
func New(max int) *Table {
	return &Table{max: max, attempts: map[ident.Attempt]*Record{}}
}

// Begin adds an attempt, which is remembered until timing.ClockSkew after its deadline; Cancel calls cancel.
// It returns a *fault.Error if the attempt is known, was canceled or may have been forgotten, or if the table is full.
func (t *Table) Begin(id ident.Attempt, now, deadline time.Time, cancel context.CancelFunc) (*Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.attempts[id]; r != nil {
		return nil, r.duplicateFault()
	}
	if t.mayBeForgotten(id) {
		return nil, fault.New(fault.NotRun, fault.Tombstoned, "request %s is older than what this side remembers", id.Request)
	}
	if !t.makeRoom(now) {
		// Nothing would stop a late copy of this call, so its verdict can't be notRun.
		return nil, fault.New(fault.MayHaveRun, fault.Overloaded, "side remembers %d attempts, its maximum", t.max)
	}
	r := &Record{table: t, id: id, state: queued, expires: deadline.Add(timing.ClockSkew), cancel: cancel}
	t.attempts[id] = r
	t.queued++
	return r, nil
}

// Cancel stops an attempt, or leaves a tombstone for one that has not arrived; both are remembered until
// timing.ClockSkew after the deadline. It returns NotRun only if the attempt was never dispatched here and never will
// be.
func (t *Table) Cancel(id ident.Attempt, now, deadline time.Time) fault.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := deadline.Add(timing.ClockSkew)
	r := t.attempts[id]
	if r == nil {
		return t.addTombstone(id, now, until)
	}
	if until.After(r.expires) {
		r.expires = until
	}
	r.canceled = true
	if r.cancel != nil {
		r.cancel()
	}
	if r.state == queued {
		t.queued--
		r.state = forbidden
	}
	if r.state == forbidden {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

// Sweep forgets the attempts that have expired and are not active.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.attempts {
		if !r.isActive() && !now.Before(r.expires) {
			t.forget(id)
		}
	}
}

// makeRoom reports whether another attempt can be remembered. If the table is full, it first forgets attempts whose
// deadline has passed, without waiting for the clock skew; requests of entries whose clocks lag may then be refused.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.attempts) < t.max {
		return true
	}
	if now.Sub(t.purgedAt) < purgeInterval {
		return false
	}
	t.purgedAt = now
	for id, r := range t.attempts {
		_, covered := ident.MintTime(id.Request) // newestForgotten covers only IDs with a mint time
		if covered && !r.isActive() && !now.Add(timing.ClockSkew).Before(r.expires) {
			t.forget(id)
		}
	}
	return len(t.attempts) < t.max
}

// forget drops an attempt; from then on unknown requests that were not minted after it are refused.
func (t *Table) forget(id ident.Attempt) {
	delete(t.attempts, id)
	if minted, ok := ident.MintTime(id.Request); ok && minted.After(t.newestForgotten) {
		t.newestForgotten = minted
	}
}

// Len returns how many attempts are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.attempts)
}

// Queued returns how many attempts are queued for dispatch.
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

// addTombstone records the cancel of an attempt that has not arrived. Without room for the tombstone a late copy of the
// call could run, so then the verdict is MayHaveRun.
func (t *Table) addTombstone(id ident.Attempt, now, until time.Time) fault.Verdict {
	if t.mayBeForgotten(id) {
		return fault.MayHaveRun
	}
	if !t.makeRoom(now) {
		return fault.MayHaveRun
	}
	t.attempts[id] = &Record{table: t, id: id, state: forbidden, expires: until, canceled: true}
	return fault.NotRun
}

// mayBeForgotten reports whether an unknown attempt may be one that was forgotten.
func (t *Table) mayBeForgotten(id ident.Attempt) bool {
	minted, ok := ident.MintTime(id.Request)
	return ok && !minted.After(t.newestForgotten)
}
