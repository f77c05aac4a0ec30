package claim

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// RetentionMargin is how long an action is kept after its key has left timing.ActionWindow.
const RetentionMargin = 15 * time.Minute

// Fold is the state of one action stream; it is not safe for concurrent use.
type Fold struct {
	entries   map[Key]*entry // actions that are not done
	done      map[doneKey]doneAction
	teamNames map[string]string // one shared copy of each name
	next      int64             // offset of the next record
	horizon   time.Time         // actions with keys minted up to this time may have been evicted
	gapOpen   bool              // records were lost and no readable one has followed yet
	skipped   int64             // records that could not be decoded
}

// New returns the state of an empty stream.
func New() *Fold {
	return &Fold{entries: map[Key]*entry{}, done: map[doneKey]doneAction{}, teamNames: map[string]string{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// Skipped returns the number of records that could not be decoded.
func (f *Fold) Skipped() int64 { return f.skipped }

// Len returns the number of actions kept.
func (f *Fold) Len() int { return len(f.entries) + len(f.done) }

// Apply applies the record at offset; an offset below Next is ignored, one above it means that records were lost.
// It returns the decoded record, false if it was ignored or could not be decoded.
func (f *Fold) Apply(offset int64, data []byte) (Record, bool) {
	if offset < f.next {
		return Record{}, false
	}
	r, err := Decode(data)
	f.gapOpen = f.gapOpen || offset > f.next
	f.next = offset + 1
	if err != nil {
		f.skipped++
		return Record{}, false
	}
	f.closeGap(r)
	f.applyRecord(offset, r)
	return r, true
}

// RaiseHorizon records that actions whose keys were minted up to a time may be missing here.
func (f *Fold) RaiseHorizon(minted time.Time) {
	if minted.After(f.horizon) {
		f.horizon = minted
	}
}

// Skip moves to an offset when the records before it have been trimmed and no record follows.
func (f *Fold) Skip(next int64, now time.Time) {
	if next <= f.next {
		return
	}
	f.next = next
	f.RaiseHorizon(now)
}

// BeforeHorizon reports whether an action whose key was minted at this time may have been evicted or missed.
func (f *Fold) BeforeHorizon(minted time.Time) bool { return !minted.After(f.horizon) }

// Get returns the state of an action; false means that no record names it.
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

// Trim evicts the actions whose keys left timing.ActionWindow longer ago than RetentionMargin.
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

// applyRecord applies a record; a record of an action that is done changes nothing.
func (f *Fold) applyRecord(offset int64, r Record) {
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
		f.done[k] = doneAction{body: e.Body, offset: offset}
	}
}

// closeGap raises the horizon over records that the log dropped before they were read. They were appended before r,
// so the horizon is the time of r plus the clock skew between writers and that between writers and minters of keys.
func (f *Fold) closeGap(r Record) {
	if !f.gapOpen {
		return
	}
	f.RaiseHorizon(r.At().Add(2 * timing.ClockSkew))
	f.gapOpen = false
}
