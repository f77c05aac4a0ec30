package member

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// group is a set of hosts whose share of vanished members is limited: a pool, or the hosts of a pool in one zone.
type group struct {
	pool string
	zone string // empty for the whole pool
}

// groupCount counts the members of a group.
type groupCount struct {
	known    int // hosts that the list is expected to contain
	vanished int // those of them that it does not contain
}

// plausible reports whether so many hosts may really have vanished at once; a single one always may. limit is
// Options.MaxVanishedFraction.
func (t groupCount) plausible(limit float64) bool {
	return t.vanished <= 1 || float64(t.vanished) <= limit*float64(t.known)
}

// holdMassAbsence marks the absent hosts of groups that lost more members at once than is plausible.
func (t *Table) holdMassAbsence(now time.Time) {
	counts := map[group]groupCount{}
	for _, r := range t.rows {
		if !r.mustBeListed(now, t.options) {
			continue
		}
		for _, g := range r.groups() {
			c := counts[g]
			c.known++
			if !r.absentSince.IsZero() {
				c.vanished++
			}
			counts[g] = c
		}
	}
	t.heldCount = 0
	for _, old := range t.rows {
		if old.absentSince.IsZero() || !old.mustBeListed(now, t.options) {
			continue
		}
		r := *old
		for _, g := range r.groups() {
			if !counts[g].plausible(t.options.MaxVanishedFraction) {
				r.held = true
			}
		}
		if r.held {
			t.heldCount++
		}
		t.put(r)
	}
}

// mustBeListed reports whether the host's absence would be unexpected; hosts that were leaving or are gone may vanish.
func (r *row) mustBeListed(now time.Time, o Options) bool {
	leaving := r.host.State == host.Leaving || r.status.GetState() == sidecarLeaving
	return !leaving && !r.addressReused && !r.absent(now, o)
}

// groups returns the groups that the host belongs to.
func (r *row) groups() [2]group {
	return [2]group{{pool: r.host.Pool}, {pool: r.host.Pool, zone: r.host.Zone}}
}
