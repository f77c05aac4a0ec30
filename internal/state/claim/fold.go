package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// Margin is how long an action is remembered after its key has left the window.
const Margin = 15 * time.Minute

// Fold is the state of one action stream; it is not safe for concurrent use.
type Fold struct {
	entries map[Key]*entry
	next    int64
	horizon time.Time // keys minted up to it may have been forgotten
	gapped  bool      // records were dropped and none readable came since
	skipped int64
}

// New returns the fold of an empty stream.
func New() *Fold { return &Fold{entries: map[Key]*entry{}} }

// Next is the offset of the record that is to be applied next.
func (f *Fold) Next() int64 { return f.next }

// Skipped counts the records that could not be read.
func (f *Fold) Skipped() int64 { return f.skipped }

// Len is the number of actions remembered.
func (f *Fold) Len() int { return len(f.entries) }

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
	f.entry(r.Key).apply(offset, r)
	return r, true
}

// Forget raises the horizon: actions whose keys were minted up to a time may be unknown here.
func (f *Fold) Forget(minted time.Time) {
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
	f.Forget(now)
}

// Forgotten says whether the key's action may have been in records that are not remembered.
func (f *Fold) Forgotten(minted time.Time) bool { return !minted.After(f.horizon) }

// Get returns what is known about an action; false when no record names it.
func (f *Fold) Get(k Key) (Entry, bool) {
	e := f.entries[k]
	if e == nil {
		return Entry{}, false
	}
	return e.Entry, true
}

// Trim forgets the actions whose keys are out of the window for longer than Margin.
func (f *Fold) Trim(now time.Time) {
	oldest := now.Add(-timing.ActionWindow - Margin)
	for k, e := range f.entries {
		if e.minted.Before(oldest) {
			f.Forget(e.minted)
			delete(f.entries, k)
		}
	}
}

// closeGap covers records that the log dropped before they were read: they were appended before r,
// by clocks that may differ, for keys whose clocks may differ again.
func (f *Fold) closeGap(r Record) {
	if !f.gapped {
		return
	}
	f.Forget(r.At().Add(2 * timing.ClockSkew))
	f.gapped = false
}

func (f *Fold) entry(k Key) *entry {
	e := f.entries[k]
	if e == nil {
		minted, _ := ident.MintTime(k.Key)
		e = &entry{Entry: Entry{State: Free}, minted: minted}
		f.entries[k] = e
	}
	return e
}

// Doubt is an action that may have run.
type Doubt struct {
	Key
	Owner  string
	Minted time.Time
}

// Doubts returns the actions that nobody can tell of, oldest first: their holder said so, or its
// request is over without an outcome.
func (f *Fold) Doubts(now time.Time) []Doubt {
	var out []Doubt
	for k, e := range f.entries {
		if e.State == Lost || e.State == Claimed && now.After(e.Until.Add(timing.ClockSkew)) {
			out = append(out, Doubt{Key: k, Owner: e.Owner, Minted: e.minted})
		}
	}
	slices.SortFunc(out, func(a, b Doubt) int {
		return cmp.Or(a.Minted.Compare(b.Minted), cmp.Compare(a.Key.Key, b.Key.Key), cmp.Compare(a.Team, b.Team))
	})
	return out
}
