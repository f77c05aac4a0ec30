package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options limit a set; a zero field takes its default.
type Options struct {
	// ExpireAfter is how long after its last crash a fingerprint stays suspect or quarantined.
	ExpireAfter time.Duration
	// MaxFingerprints bounds the memory: it is the number of fingerprints kept, the quarantined ones first, then those
	// with the latest crash or lift.
	MaxFingerprints int
}

const (
	defaultExpireAfter     = time.Hour
	defaultMaxFingerprints = 1024
	// retentionFactor is after how many times ExpireAfter a record is dropped; until then late copies still merge
	// correctly.
	retentionFactor = 2
)

// Set is an immutable set of fingerprints with the crashes that count against each.
type Set struct {
	ttlMs           int64 // Options.ExpireAfter
	maxFingerprints int
	records         map[string]record // by fingerprint
}

// New returns an empty set.
func New(o Options) *Set {
	if o.ExpireAfter == 0 {
		o.ExpireAfter = defaultExpireAfter
	}
	if o.MaxFingerprints == 0 {
		o.MaxFingerprints = defaultMaxFingerprints
	}
	return &Set{ttlMs: o.ExpireAfter.Milliseconds(), maxFingerprints: o.MaxFingerprints}
}

// WithCrash returns a copy after an upstream crashed with the given fingerprints in flight.
func (s *Set) WithCrash(now time.Time, c Crash, fingerprints ...string) *Set {
	e := evidence{id: c.ID, atMs: now.UnixMilli(), alone: c.InFlight == 1 && len(fingerprints) == 1}
	updates := make(map[string]record, len(fingerprints))
	for _, fp := range fingerprints {
		updates[fp] = record{crashes: map[string]evidence{c.ID: e}}
	}
	return s.merge(now, updates)
}

// WithCompletion returns a copy after a request completed while running alone, which clears it of the crashes known so
// far.
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

// WithLift returns a copy after an operator released a fingerprint; crashes until now no longer count.
func (s *Set) WithLift(now time.Time, fingerprint, author string) *Set {
	return s.merge(now, map[string]record{fingerprint: {lift: lift{atMs: now.UnixMilli(), author: author}}})
}

// Merge returns the join of both sets. It is idempotent and independent of order.
func (s *Set) Merge(now time.Time, o *Set) *Set {
	return s.merge(now, o.records)
}

// merge joins the updates into a copy; it returns s itself if nothing changes.
func (s *Set) merge(now time.Time, updates map[string]record) *Set {
	next := maps.Clone(s.records)
	if next == nil {
		next = make(map[string]record, len(updates))
	}
	changed := false
	for fp, r := range updates {
		old, known := next[fp]
		joined := old.join(r)
		if s.expired(joined, now.UnixMilli()) {
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
	c := &Set{ttlMs: s.ttlMs, maxFingerprints: s.maxFingerprints, records: next}
	c.evict(now.UnixMilli())
	return c
}

// expired reports whether a record is old enough to be dropped.
func (s *Set) expired(r record, nowMs int64) bool {
	return nowMs-r.lastEventMs() >= retentionFactor*s.ttlMs
}

// evict drops expired records and those beyond maxFingerprints from a set that is not published yet.
func (s *Set) evict(nowMs int64) {
	maps.DeleteFunc(s.records, func(_ string, r record) bool {
		return s.expired(r, nowMs)
	})
	if len(s.records) <= s.maxFingerprints {
		return
	}
	type ranked struct {
		fp          string
		quarantined bool
		latestMs    int64
	}
	list := make([]ranked, 0, len(s.records))
	for fp, r := range s.records {
		list = append(list, ranked{fp, r.state(nowMs, s.ttlMs) == Quarantined, r.lastEventMs()})
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
	for _, r := range list[s.maxFingerprints:] {
		delete(s.records, r.fp)
	}
}

// State returns how a request with this fingerprint may run.
func (s *Set) State(fingerprint string, now time.Time) State {
	r, ok := s.records[fingerprint]
	if !ok {
		return Clear
	}
	return r.state(now.UnixMilli(), s.ttlMs)
}

// RetryAfter returns the time until the crashes of a suspect or quarantined fingerprint expire, if no further one
// happens; 0 for other fingerprints.
func (s *Set) RetryAfter(fingerprint string, now time.Time) time.Duration {
	r := s.records[fingerprint]
	if len(r.activeCrashes(now.UnixMilli(), s.ttlMs)) == 0 {
		return 0
	}
	// A crash that was cleared still keeps those before it from expiring.
	all := r.sortedCrashes()
	return time.UnixMilli(all[len(all)-1].atMs + s.ttlMs).Sub(now)
}

// Len returns the number of fingerprints held.
func (s *Set) Len() int { return len(s.records) }

// Fingerprints returns the fingerprints held, sorted.
func (s *Set) Fingerprints() []string {
	return slices.Sorted(maps.Keys(s.records))
}

// List returns the fingerprints that are suspect, quarantined or lifted, sorted.
func (s *Set) List(now time.Time) []FingerprintStatus {
	var out []FingerprintStatus
	for _, fp := range s.Fingerprints() {
		r := s.records[fp]
		state := r.state(now.UnixMilli(), s.ttlMs)
		if state == Clear {
			continue
		}
		e := FingerprintStatus{Fingerprint: fp, State: state, LiftedBy: r.lift.author,
			Expires: time.UnixMilli(r.lastEventMs() + s.ttlMs)}
		for _, c := range r.sortedCrashes() {
			e.Crashes = append(e.Crashes, c.id)
		}
		out = append(out, e)
	}
	return out
}

// Changed returns the fingerprints whose records differ from those in old, sorted.
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

// Digest is equal for sets that hold the same records; records past ExpireAfter are left out.
func (s *Set) Digest(now time.Time) uint64 {
	var sum uint64
	for fp, r := range s.records {
		if now.UnixMilli()-r.lastEventMs() < s.ttlMs {
			sum ^= r.digest(fp)
		}
	}
	return sum
}

// Latest returns up to n fingerprints, those with the latest crash or lift first.
func (s *Set) Latest(n int) []string {
	all := s.Fingerprints()
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(s.records[b].lastEventMs(), s.records[a].lastEventMs())
	})
	return all[:min(n, len(all))]
}
