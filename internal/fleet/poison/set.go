package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options bound a set; a zero field takes its default.
type Options struct {
	// ExpireAfter is how long after its last crash a fingerprint is suspect or quarantined.
	ExpireAfter time.Duration
	// MaxFingerprints bounds the memory; quarantined ones are kept first, then those with the latest crash.
	MaxFingerprints int
}

const (
	defaultExpireAfter     = time.Hour
	defaultMaxFingerprints = 1024
	// forgetFactor is after how many lifetimes a record is dropped; until then a late copy still merges right.
	forgetFactor = 2
)

// Set is an immutable set of fingerprints with the crashes that speak against each.
type Set struct {
	ttlMs   int64
	limit   int
	records map[string]record
}

// New returns an empty set.
func New(o Options) *Set {
	if o.ExpireAfter == 0 {
		o.ExpireAfter = defaultExpireAfter
	}
	if o.MaxFingerprints == 0 {
		o.MaxFingerprints = defaultMaxFingerprints
	}
	return &Set{ttlMs: o.ExpireAfter.Milliseconds(), limit: o.MaxFingerprints}
}

// WithCrash returns a copy after an upstream crashed with the given fingerprints in flight.
func (s *Set) WithCrash(now time.Time, c Crash, fingerprints ...string) *Set {
	e := evidence{id: c.ID, atMs: now.UnixMilli(), alone: c.InFlight == 1 && len(fingerprints) == 1}
	news := make(map[string]record, len(fingerprints))
	for _, fp := range fingerprints {
		news[fp] = record{crashes: map[string]evidence{c.ID: e}}
	}
	return s.merge(now, news)
}

// WithCompletion returns a copy after a request ran alone to its end, which clears it of the crashes known so far.
func (s *Set) WithCompletion(now time.Time, fingerprint string) *Set {
	r, ok := s.records[fingerprint]
	if !ok || len(r.crashes) == 0 {
		return s
	}
	cleared := record{crashes: make(map[string]evidence, len(r.crashes))}
	for id, e := range r.crashes {
		e.cleared = true
		cleared.crashes[id] = e
	}
	return s.merge(now, map[string]record{fingerprint: cleared})
}

// WithLift returns a copy after an operator released a fingerprint; crashes up to now no longer count.
func (s *Set) WithLift(now time.Time, fingerprint, author string) *Set {
	return s.merge(now, map[string]record{fingerprint: {lift: lift{atMs: now.UnixMilli(), by: author}}})
}

// Merge returns the join of both sets; order and repetition do not matter.
func (s *Set) Merge(now time.Time, o *Set) *Set {
	return s.merge(now, o.records)
}

func (s *Set) merge(now time.Time, news map[string]record) *Set {
	next := maps.Clone(s.records)
	if next == nil {
		next = make(map[string]record, len(news))
	}
	changed := false
	for fp, r := range news {
		old, known := next[fp]
		joined := old.join(r)
		if s.forgotten(joined, now.UnixMilli()) {
			continue
		}
		if !known || !joined.equal(old) {
			next[fp] = joined
			changed = true
		}
	}
	if !changed {
		return s
	}
	c := &Set{ttlMs: s.ttlMs, limit: s.limit, records: next}
	c.trim(now.UnixMilli())
	return c
}

func (s *Set) forgotten(r record, nowMs int64) bool {
	return nowMs-r.latestMs() >= forgetFactor*s.ttlMs
}

// trim forgets what expired long ago and keeps the set within its bound; c is not yet published.
func (s *Set) trim(nowMs int64) {
	maps.DeleteFunc(s.records, func(_ string, r record) bool {
		return s.forgotten(r, nowMs)
	})
	if len(s.records) <= s.limit {
		return
	}
	type ranked struct {
		fp          string
		quarantined bool
		latestMs    int64
	}
	list := make([]ranked, 0, len(s.records))
	for fp, r := range s.records {
		list = append(list, ranked{fp, r.state(nowMs, s.ttlMs) == Quarantined, r.latestMs()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.quarantined != b.quarantined {
			if a.quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.latestMs, a.latestMs), cmp.Compare(a.fp, b.fp))
	})
	for _, r := range list[s.limit:] {
		delete(s.records, r.fp)
	}
}

// State says how a request with this fingerprint may run.
func (s *Set) State(fingerprint string, now time.Time) State {
	r, ok := s.records[fingerprint]
	if !ok {
		return Clear
	}
	return r.state(now.UnixMilli(), s.ttlMs)
}

// RetryAfter is how long a quarantined or suspect fingerprint stays one if nothing more happens.
func (s *Set) RetryAfter(fingerprint string, now time.Time) time.Duration {
	r := s.records[fingerprint]
	list := r.counting(now.UnixMilli(), s.ttlMs)
	if len(list) == 0 {
		return 0
	}
	return time.UnixMilli(list[len(list)-1].atMs + s.ttlMs).Sub(now)
}

// Len is the number of fingerprints held.
func (s *Set) Len() int { return len(s.records) }

// Fingerprints returns the fingerprints held, sorted.
func (s *Set) Fingerprints() []string {
	return slices.Sorted(maps.Keys(s.records))
}

// List returns the fingerprints that are suspect, quarantined or lifted, sorted.
func (s *Set) List(now time.Time) []Entry {
	var out []Entry
	for _, fp := range s.Fingerprints() {
		r := s.records[fp]
		state := r.state(now.UnixMilli(), s.ttlMs)
		if state == Clear {
			continue
		}
		e := Entry{Fingerprint: fp, State: state, LiftedBy: r.lift.by, Expires: time.UnixMilli(r.latestMs() + s.ttlMs)}
		for _, c := range r.sorted() {
			e.Crashes = append(e.Crashes, c.id)
		}
		out = append(out, e)
	}
	return out
}

// Changed returns the fingerprints of which s knows something that old does not, sorted.
func (s *Set) Changed(old *Set) []string {
	if s == old {
		return nil
	}
	var out []string
	for fp, r := range s.records {
		if before, known := old.records[fp]; !known || !r.equal(before) {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

// Digest is equal for sets that hold the same records; those that will be forgotten do not count.
func (s *Set) Digest(now time.Time) uint64 {
	var sum uint64
	for fp, r := range s.records {
		if now.UnixMilli()-r.latestMs() < s.ttlMs {
			sum ^= r.digest(fp)
		}
	}
	return sum
}

// Latest returns up to n fingerprints, the one with the latest crash or lift first.
func (s *Set) Latest(n int) []string {
	all := s.Fingerprints()
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(s.records[b].latestMs(), s.records[a].latestMs())
	})
	return all[:min(n, len(all))]
}
