package watch

import "time"

// maxReadGap is the longest time between two reads by other entries in which the store was not unavailable for so long
// that entries expired.
const maxReadGap = 1500 * time.Millisecond

// otherReads is the newest period in which other entries have read the list of upstreams without a longer gap.
type otherReads struct {
	since, until time.Time
}

// add adds a read to the period.
func (o *otherReads) add(at time.Time) {
	if !at.After(o.until) {
		return
	}
	if at.Sub(o.until) > maxReadGap {
		o.since = at
	}
	o.until = at
}

// cover reports whether the period includes the time between two moments, the second of which is now.
func (o *otherReads) cover(from, now time.Time) bool {
	return !o.since.IsZero() && !o.since.After(from) && now.Sub(o.until) <= maxReadGap
}
