package zones

import (
	"cmp"
	"maps"
	"slices"
)

// Record is the newest known record of the evacuation of a zone.
type Record struct {
	Zone      string
	Evacuated bool  // false once the operator has deleted the record
	Era       int64 // of the store, in which Offset is valid
	Offset    int64
}

// newer reports whether a record was written after another one.
func (r Record) newer(than Record) bool {
	return cmp.Or(cmp.Compare(r.Era, than.Era), cmp.Compare(r.Offset, than.Offset)) > 0
}

// Set is an immutable set of the newest record of each zone. Sets of several processes can be merged in any order, as the
// record with the highest era and offset holds.
type Set struct {
	records  map[string]Record
	era, end int64 // all records before this position are known
}

// New returns a set without records.
func New() *Set { return &Set{records: map[string]Record{}} }

// WithRecords returns a set with further records; those older than the known record of their zone are ignored.
func (s *Set) WithRecords(records []Record) *Set {
	out := &Set{records: maps.Clone(s.records), era: s.era, end: s.end}
	for _, r := range records {
		if known, ok := out.records[r.Zone]; !ok || r.newer(known) {
			out.records[r.Zone] = r
		}
	}
	return out
}

// WithEnd returns a set in which all records before a position are known.
func (s *Set) WithEnd(era, end int64) *Set {
	if cmp.Or(cmp.Compare(era, s.era), cmp.Compare(end, s.end)) <= 0 {
		return s
	}
	return &Set{records: s.records, era: era, end: end}
}

// WithAll returns a set with the records that a snapshot of the store, or another process, has for all zones at a
// position. An evacuation that it lacks was revoked if its record is of the same era and before the position. If it is of
// an earlier era, the store came back from a copy that may be older than the record, so the evacuation holds.
func (s *Set) WithAll(records []Record, era, end int64) *Set {
	out := s.WithRecords(records).WithEnd(era, end)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Zone] = true
	}
	for zone, r := range out.records {
		if r.Evacuated && !listed[zone] && r.Era == era && r.Offset < end {
			out.records[zone] = Record{Zone: zone, Era: era, Offset: end - 1}
		}
	}
	return out
}

// Evacuated lists the zones that are evacuated, sorted.
func (s *Set) Evacuated() []string {
	var out []string
	for zone, r := range s.records {
		if r.Evacuated {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// Get returns the newest record of a zone.
func (s *Set) Get(zone string) (Record, bool) {
	r, ok := s.records[zone]
	return r, ok
}

// Records lists the newest record of each zone, sorted by zone.
func (s *Set) Records() []Record {
	return slices.SortedFunc(maps.Values(s.records), func(a, b Record) int { return cmp.Compare(a.Zone, b.Zone) })
}

// NewerThan lists the records that are newer than those of the same zones in a list, or whose zones it lacks.
func (s *Set) NewerThan(records []Record) []Record {
	other := New().WithRecords(records)
	var out []Record
	for _, r := range s.Records() {
		if known, ok := other.records[r.Zone]; !ok || r.newer(known) {
			out = append(out, r)
		}
	}
	return out
}

// End returns the position in the store, as its era and offset, before which all records are known.
func (s *Set) End() (era, offset int64) { return s.era, s.end }
