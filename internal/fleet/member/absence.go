package member

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// part is what the cap on vanished hosts is counted over: a pool, or a pool's hosts in one zone.
type part struct {
	pool string
	zone string
}

type tally struct {
	known    int
	vanished int
}

// believed says whether so many may vanish; one host always may.
func (t tally) believed(limit float64) bool {
	return t.vanished <= 1 || float64(t.vanished) <= limit*float64(t.known)
}

// holdVanished marks the absences that are too many at once to be believed.
func (t *Table) holdVanished(now time.Time) {
	counts := map[part]tally{}
	for _, r := range t.rows {
		if !r.counts(now, t.options) {
			continue
		}
		for _, p := range r.parts() {
			c := counts[p]
			c.known++
			if !r.absentFrom.IsZero() {
				c.vanished++
			}
			counts[p] = c
		}
	}
	t.missing = 0
	for _, old := range t.rows {
		if old.absentFrom.IsZero() || !old.counts(now, t.options) {
			continue
		}
		r := *old
		for _, p := range r.parts() {
			if !counts[p].believed(t.options.MaxVanishedFraction) {
				r.held = true
			}
		}
		if r.held {
			t.missing++
		}
		t.put(r)
	}
}

// counts says whether the host's absence would be news: those that were leaving or are gone may vanish freely.
func (r *row) counts(now time.Time, o Options) bool {
	leaving := r.host.State == host.Leaving || r.status.GetState() == sideLeaving
	return !leaving && !r.reused && !r.absent(now, o)
}

func (r *row) parts() [2]part {
	return [2]part{{pool: r.host.Pool}, {pool: r.host.Pool, zone: r.host.Zone}}
}
