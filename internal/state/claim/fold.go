package claim

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// RetentionMargin is how long an action is remembered after its key has left the window.
const RetentionMargin = 15 * time.Minute

// Fold is the state of one action stream; it is not safe for concurrent use.
type Fold struct {
	entries map[Key]*entry // all but those that are done
	done    map[doneKey]done
	teams   map[string]string // one copy of each name
	next    int64
	horizon time.Time // keys minted up to it may have been forgotten
	gapped  bool      // records were dropped and none readable came since
	skipped int64
}

// New returns the fold of an empty stream.
func New() *Fold {
	return &Fold{entries: map[Key]*entry{}, done: map[doneKey]done{}, teams: map[string]string{}}
}

// Next is the offset of the record that is to be applied next.
func (f *Fold) Next() int64 { return f.next }

// Skipped counts the records that could not be read.
func (f *Fold) Skipped() int64 { return f.skipped }

// Len is the number of actions remembered.
func (f *Fold) Len() int { return len(f.entries) + len(f.done) }

// Apply takes the record at an offset in order; an offset seen before is ignored.
// The record is returned with whether it could be read.
func (f *Fold) Apply(offset int64, data []byte) (Record, bool) {
	if offset < f.next {
		return Record{}, false
	}
	r, err := Decode(data)
	f.gapped = f.gapped || offset > f.next
	f.next = offset + 1
	if err != nil {
		f.skipped++
		return Record{}, false
	}
	f.closeGap(r)
	f.fold(offset, r)
	return r, true
}

// RaiseHorizon raises the horizon: actions whose keys were minted up to a time may be unknown here.
func (f *Fold) RaiseHorizon(minted time.Time) {
	if minted.After(f.horizon) {
		f.horizon = minted
	}
}

// Skip moves to an offset when the records before it are gone and none follows them.
func (f *Fold) Skip(next int64, now time.Time) {
	if next <= f.next {
		return
	}
	f.next = next
	f.RaiseHorizon(now)
}

// Forgotten says whether the key's action may have been in records that are not remembered.
func (f *Fold) Forgotten(minted time.Time) bool { return !minted.After(f.horizon) }

// Get returns what is known about an action; false when no record names it.
func (f *Fold) Get(k Key) (Entry, bool) {
	if d, ok := f.done[f.doneKey(k)]; ok {
		return Entry{State: Done, Body: d.body, Offset: d.offset, Verdict: fault.Ran}, true
	}
	e := f.entries[k]
	if e == nil {
		return Entry{}, false
	}
	return e.Entry, true
}

// Trim forgets the actions whose keys are out of the window for longer than RetentionMargin.
func (f *Fold) Trim(now time.Time) {
	oldest := now.Add(-timing.ActionWindow - RetentionMargin)
	for k := range f.entries {
		if minted, _ := ident.MintTime(k.Key); minted.Before(oldest) {
			f.RaiseHorizon(minted)
			delete(f.entries, k)
		}
	}
	for k := range f.done {
		if minted := k.minted(); minted.Before(oldest) {
			f.RaiseHorizon(minted)
			delete(f.done, k)
		}
	}
}

// fold applies a record; one for an action that is done changes nothing.
func (f *Fold) fold(offset int64, r Record) {
	k := f.doneKey(r.Key)
	if _, ok := f.done[k]; ok {
		return
	}
	e := f.entries[r.Key]
	if e == nil {
		e = &entry{Entry: Entry{State: Free}}
		f.entries[r.Key] = e
	}
	e.apply(offset, r)
	if e.State == Done {
		delete(f.entries, r.Key)
		f.done[k] = done{body: e.Body, offset: offset}
	}
}

// closeGap covers records that the log dropped before they were read: they were appended before r,
// by clocks that may differ, for keys whose clocks may differ again.
func (f *Fold) closeGap(r Record) {
	if !f.gapped {
		return
	}
	f.RaiseHorizon(r.At().Add(2 * timing.ClockSkew))
	f.gapped = false
}
