package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCrashes is how many crashes are kept for one fingerprint; the latest ones are kept.
const maxCrashes = 8

// quarantineCrashes is how many distinct crashes quarantine a fingerprint.
const quarantineCrashes = 2

// evidence is what is known of one crash. Flags are only ever set, so that copies can be merged in any order.
type evidence struct {
	id      string // Crash.ID
	atMs    int64
	alone   bool // the request was the only call in flight
	cleared bool // the request completed alone after the crash
}

// join merges two copies of the evidence of one crash.
func (e evidence) join(o evidence) evidence {
	e.atMs = max(e.atMs, o.atMs)
	e.alone = e.alone || o.alone
	e.cleared = e.cleared || o.cleared
	return e
}

// lift is an operator's release of a fingerprint; the latest one counts.
type lift struct {
	atMs   int64
	author string
}

// join returns the lift that counts.
func (l lift) join(o lift) lift {
	if o.atMs > l.atMs || o.atMs == l.atMs && o.author > l.author {
		return o
	}
	return l
}

// record holds all that is known of one fingerprint.
type record struct {
	crashes map[string]evidence
	lift    lift
}

// join merges two copies of a record. It is idempotent, commutative and, within the bound on crashes, associative.
func (r record) join(o record) record {
	out := record{crashes: maps.Clone(r.crashes), lift: r.lift.join(o.lift)}
	if out.crashes == nil {
		out.crashes = map[string]evidence{}
	}
	for id, e := range o.crashes {
		if mine, ok := out.crashes[id]; ok {
			e = e.join(mine)
		}
		out.crashes[id] = e
	}
	for _, e := range out.sortedCrashes()[:max(0, len(out.crashes)-maxCrashes)] {
		delete(out.crashes, e.id)
	}
	return out
}

func (r record) equal(o record) bool {
	return r.lift == o.lift && maps.Equal(r.crashes, o.crashes)
}

// sortedCrashes returns the crashes, oldest first.
func (r record) sortedCrashes() []evidence {
	list := slices.Collect(maps.Values(r.crashes))
	slices.SortFunc(list, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.id, b.id))
	})
	return list
}

// activeCrashes returns the crashes that still count against the fingerprint, oldest first: those that are not cleared,
// are later than the operator's lift, and have not expired. When ttlMs passes without another crash, all crashes before
// that expire.
func (r record) activeCrashes(nowMs, ttlMs int64) []evidence {
	list := r.sortedCrashes()
	next := nowMs
	for i := len(list) - 1; i >= 0; i-- {
		if next-list[i].atMs >= ttlMs {
			list = list[i+1:]
			break
		}
		next = list[i].atMs
	}
	return slices.DeleteFunc(list, func(e evidence) bool { return e.cleared || e.atMs <= r.lift.atMs })
}

// state returns the state of the fingerprint: it is quarantined after quarantineCrashes distinct crashes if the request
// ran alone in at least one of them.
func (r record) state(nowMs, ttlMs int64) State {
	list := r.activeCrashes(nowMs, ttlMs)
	alone := slices.ContainsFunc(list, func(e evidence) bool { return e.alone })
	switch {
	case len(list) >= quarantineCrashes && alone:
		return Quarantined
	case len(list) > 0:
		return Suspect
	case r.lift.atMs > 0 && nowMs-r.lift.atMs < ttlMs:
		return Lifted
	default:
		return Clear
	}
}

// lastEventMs returns the time of the latest crash or lift.
func (r record) lastEventMs() int64 {
	latest := r.lift.atMs
	for _, e := range r.crashes {
		latest = max(latest, e.atMs)
	}
	return latest
}

// digest returns a hash of the record.
func (r record) digest(fingerprint string) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %d %q", fingerprint, r.lift.atMs, r.lift.author)
	for _, e := range r.sortedCrashes() {
		fmt.Fprintf(h, " %q %d %t %t", e.id, e.atMs, e.alone, e.cleared)
	}
	return h.Sum64()
}
