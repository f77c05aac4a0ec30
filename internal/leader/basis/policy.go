package basis

import (
	"maps"
	"slices"
	"time"
)

// Policy watches the versions that are listed in each pool and says when another one becomes the base version. It is
// not safe for concurrent use.
type Policy struct {
	retention func(pool string) time.Duration
	started   time.Time
	pools     map[string]*versions
}

// versions are those of one pool.
type versions struct {
	counts     map[string]int       // of engines that are listed now, by version
	lastListed map[string]time.Time // by version, of those that were listed within the retention
}

// New returns a Policy that begins to watch now. A stream may be taken up within the retention of its pool after it
// began.
func New(retention func(pool string) time.Duration, now time.Time) *Policy {
	return &Policy{retention: retention, started: now, pools: map[string]*versions{}}
}

// Restart begins to watch now: versions may have been listed before that were not observed.
func (p *Policy) Restart(now time.Time) { p.started = now }

// Observe records how many engines of each version are listed in a pool. It reports whether the versions are others
// than before.
func (p *Policy) Observe(pool string, counts map[string]int, now time.Time) (changed bool) {
	v := p.pools[pool]
	if v == nil {
		v = &versions{lastListed: map[string]time.Time{}}
		p.pools[pool] = v
	}
	changed = len(counts) != len(v.counts)
	for version := range counts {
		_, before := v.counts[version]
		changed = changed || !before
		v.lastListed[version] = now
	}
	v.counts = counts
	maps.DeleteFunc(v.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > p.retention(pool) })
	return changed
}

// Next returns the version that is to become the base in place of the present one, which is empty if there is none. It
// is the most frequent one, once no stream that began at the present base can be taken up, and none that another process
// may have begun before since without a record.
func (p *Policy) Next(pool, base string, since, now time.Time) (next string, moves bool) {
	v := p.pools[pool]
	if v == nil || len(v.counts) == 0 {
		return "", false
	}
	if _, recent := v.lastListed[base]; base != "" && (recent || now.Sub(since) <= p.retention(pool)) {
		return "", false
	}
	for _, version := range slices.Sorted(maps.Keys(v.counts)) {
		if next == "" || v.counts[version] > v.counts[next] {
			next = version
		}
	}
	return next, next != base
}

// Sole returns the only version that was listed in a pool for its whole retention, at which every stream began that may
// be taken up.
func (p *Policy) Sole(pool string, now time.Time) (version string, sole bool) {
	v := p.pools[pool]
	if v == nil || len(v.counts) != 1 || len(v.lastListed) != 1 || now.Sub(p.started) <= p.retention(pool) {
		return "", false
	}
	for version = range v.counts {
	}
	return version, true
}

// IsOnly reports whether engines of a version are listed in a pool, and none of another one has been listed since a time.
func (p *Policy) IsOnly(pool, version string, since time.Time) bool {
	if !p.IsListed(pool, version) {
		return false
	}
	for other, at := range p.pools[pool].lastListed {
		if other != version && !at.Before(since) {
			return false
		}
	}
	return true
}

// IsListed reports whether engines of a version are listed in a pool.
func (p *Policy) IsListed(pool, version string) bool {
	v := p.pools[pool]
	return v != nil && v.counts[version] > 0
}

// Listed returns how many versions are listed in a pool.
func (p *Policy) Listed(pool string) int {
	if v := p.pools[pool]; v != nil {
		return len(v.counts)
	}
	return 0
}
