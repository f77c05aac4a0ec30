package poison

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// maxClockSkewMs is how far in the future a peer's time may lie.
	maxClockSkewMs = 2 * 60 * 1000
	// maxNameBytes limits the length of a fingerprint, crash ID or author received from a peer.
	maxNameBytes = 256
)

// Marks returns the records of the given fingerprints as messages for a peer.
func (s *Set) Marks(now time.Time, fingerprints []string) []*peerpb.Mark {
	var out []*peerpb.Mark
	for _, fp := range fingerprints {
		r, ok := s.records[fp]
		if !ok {
			continue
		}
		m := &peerpb.Mark{
			Fingerprint:   fp,
			State:         string(r.state(now.UnixMilli(), s.ttlMs)),
			ExpiresUnixMs: r.lastEventMs() + s.ttlMs,
			LiftedUnixMs:  r.lift.atMs,
			LiftedBy:      r.lift.author,
		}
		for _, e := range r.sortedCrashes() {
			m.Crashes = append(m.Crashes, &peerpb.Crash{Id: e.id, AtUnixMs: e.atMs, Alone: e.alone, Cleared: e.cleared})
		}
		out = append(out, m)
	}
	return out
}

// WithMarks returns the join with a peer's marks, and the fingerprints that changed by it. Marks with oversized names
// or times too far in the future are dropped.
func (s *Set) WithMarks(now time.Time, marks []*peerpb.Mark) (*Set, []string) {
	latest := now.UnixMilli() + maxClockSkewMs
	var changed []string
	next := s
	for _, m := range marks {
		r, ok := fromWire(m, latest)
		if !ok {
			continue
		}
		merged := next.merge(now, map[string]record{m.GetFingerprint(): r})
		if _, kept := merged.records[m.GetFingerprint()]; kept && merged != next {
			changed = append(changed, m.GetFingerprint())
		}
		next = merged
	}
	return next, changed
}

// fromWire converts a peer's mark; it returns false if the mark is invalid or has a time after latestMs.
func fromWire(m *peerpb.Mark, latestMs int64) (record, bool) {
	if m.GetFingerprint() == "" || len(m.GetFingerprint()) > maxNameBytes || len(m.GetLiftedBy()) > maxNameBytes {
		return record{}, false
	}
	if m.GetLiftedUnixMs() > latestMs || m.GetLiftedUnixMs() < 0 {
		return record{}, false
	}
	r := record{
		crashes: make(map[string]evidence, len(m.GetCrashes())),
		lift:    lift{atMs: m.GetLiftedUnixMs(), author: m.GetLiftedBy()},
	}
	for _, c := range m.GetCrashes() {
		if c.GetId() == "" || len(c.GetId()) > maxNameBytes || c.GetAtUnixMs() > latestMs {
			return record{}, false
		}
		r.crashes[c.GetId()] = evidence{id: c.GetId(), atMs: c.GetAtUnixMs(), alone: c.GetAlone(), cleared: c.GetCleared()}
	}
	return r, true
}
