package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCrashes is how many crashes are kept for one fingerprint, the latest ones.
const maxCrashes = 8

// quarantineCrashes is how many different crashes quarantine a fingerprint.
const quarantineCrashes = 2

// evidence is what is known of one crash; flags are only ever set, so that copies merge in any order.
type evidence struct {
	id      string
	atMs    int64
	alone   bool
	cleared bool
}

func (e evidence) join(o evidence) evidence {
	e.atMs = max(e.atMs, o.atMs)
	e.alone = e.alone || o.alone
	e.cleared = e.cleared || o.cleared
	return e
}

// lift is an operator's release; the latest one counts.
type lift struct {
	atMs int64
	by   string
}

func (l lift) join(o lift) lift {
	if o.atMs > l.atMs || o.atMs == l.atMs && o.by > l.by {
		return o
	}
	return l
}

// record is all that is known of one fingerprint.
type record struct {
	crashes map[string]evidence
	lift    lift
}

// join is idempotent, commutative and, within the bound on crashes, associative.
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
	for _, e := range out.sorted()[:max(0, len(out.crashes)-maxCrashes)] {
		delete(out.crashes, e.id)
	}
	return out
}

func (r record) equal(o record) bool {
	return r.lift == o.lift && maps.Equal(r.crashes, o.crashes)
}

// sorted returns the crashes, oldest first.
func (r record) sorted() []evidence {
	list := slices.Collect(maps.Values(r.crashes))
	slices.SortFunc(list, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(a.atMs, b.atMs), cmp.Compare(a.id, b.id))
	})
	return list
}

// counting returns the crashes that still speak against the fingerprint, oldest first: neither cleared, nor older than
// the operator's lift, nor further than ttl before the next one or before now.
func (r record) counting(nowMs, ttlMs int64) []evidence {
	list := r.sorted()
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

// state applies the rule of blame: two different crashes, in one of which the request ran alone.
func (r record) state(nowMs, ttlMs int64) State {
	list := r.counting(nowMs, ttlMs)
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

// latestMs is the time of the last thing known of the fingerprint.
func (r record) latestMs() int64 {
	latest := r.lift.atMs
	for _, e := range r.crashes {
		latest = max(latest, e.atMs)
	}
	return latest
}

func (r record) digest(fingerprint string) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%q %d %q", fingerprint, r.lift.atMs, r.lift.by)
	for _, e := range r.sorted() {
		fmt.Fprintf(h, " %q %d %t %t", e.id, e.atMs, e.alone, e.cleared)
	}
	return h.Sum64()
}
