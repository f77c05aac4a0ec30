package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	crashesToBlock = 2                // with the same fingerprint
	countFor       = 60 * time.Second // crashes that are further apart do not add up
	blockFor       = 30 * time.Second // after the last crash
	maxKnown       = 4096             // fingerprints
	maxShared      = 64               // blocked fingerprints that are told to other processes
)

// entry is what is known of one fingerprint.
type entry struct {
	crashes  int
	lifetime string // the last one that crashed
	last     time.Time
	blocked  time.Time // until then
}

// Tracker counts crashes by fingerprint; it is safe for concurrent use.
type Tracker struct {
	now   func() time.Time
	mu    sync.Mutex
	known map[uint64]entry
}

// New returns a tracker without crashes.
func New(now func() time.Time) *Tracker { return &Tracker{now: now, known: map[uint64]entry{}} }

// ObserveCrash counts a crash of an upstream while it ran a request, and reports whether the fingerprint is blocked.
// Each lifetime of an upstream counts once. Requests sent before the last counted crash may have failed for the same
// cause and are not counted.
func (r *Tracker) ObserveCrash(fingerprint uint64, lifetime string, sent time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	e := r.known[fingerprint]
	if now.Sub(e.last) > countFor {
		e = entry{}
	}
	if e.crashes > 0 && (e.lifetime == lifetime || !sent.After(e.last)) {
		return now.Before(e.blocked)
	}
	e.lifetime = lifetime
	e.crashes++
	e.last = now
	if e.crashes >= crashesToBlock {
		e.blocked = now.Add(blockFor)
	}
	r.put(fingerprint, e, now)
	return e.crashes >= crashesToBlock
}

// ObserveAnswer forgets the crashes of a fingerprint that is not blocked, as a request that crashes upstreams is never
// answered. It reports whether there were any.
func (r *Tracker) ObserveAnswer(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.known[fingerprint]
	if !known || r.now().Before(e.blocked) {
		return false
	}
	delete(r.known, fingerprint)
	return true
}

// Block blocks fingerprints that another process found.
func (r *Tracker) Block(fingerprints []uint64) {
	if len(fingerprints) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, f := range fingerprints {
		e := r.known[f]
		if now.Before(e.blocked) {
			continue
		}
		e.crashes, e.last, e.blocked = crashesToBlock, now, now.Add(blockFor)
		r.put(f, e, now)
	}
}

// BlockedFor returns how long requests with the fingerprint are still refused; 0 when they are not.
func (r *Tracker) BlockedFor(fingerprint uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.known[fingerprint].blocked.Sub(r.now()))
}

// BlockedFingerprints returns up to 64 blocked fingerprints, sorted, for other processes.
func (r *Tracker) BlockedFingerprints() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []uint64
	for f, e := range r.known {
		if now.Before(e.blocked) && len(out) < maxShared {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// put stores an entry, making place by forgetting old ones.
func (r *Tracker) put(fingerprint uint64, e entry, now time.Time) {
	if len(r.known) >= maxKnown {
		for f, old := range r.known {
			if now.Sub(old.last) > countFor || len(r.known) > maxKnown/2 {
				delete(r.known, f)
			}
		}
	}
	r.known[fingerprint] = e
}
