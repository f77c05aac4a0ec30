package crash

import (
	"slices"
	"sync"
	"time"
)

const (
	crashesToBlock = 2                // crashes with the same fingerprint
	crashWindow    = 60 * time.Second // crashes further apart do not add up
	blockDuration  = 30 * time.Second // after the last crash
	maxEntries     = 4096             // fingerprints
	maxListed      = 64               // blocked fingerprints shared with other processes
)

// entry holds the crashes of one fingerprint.
type entry struct {
	crashes      int
	lifetime     string    // of the upstream in the last crash
	last         time.Time // time of the last crash
	blockedUntil time.Time
}

// Tracker counts crashes by fingerprint; it is safe for concurrent use.
type Tracker struct {
	now     func() time.Time
	mu      sync.Mutex
	entries map[uint64]entry
}

// New returns a tracker without crashes.
func New(now func() time.Time) *Tracker { return &Tracker{now: now, entries: map[uint64]entry{}} }

// ObserveCrash counts a crash of an upstream while it ran a request, and reports whether the fingerprint is blocked.
// The lifetime of the last counted crash is not counted twice, and requests sent before that crash are not counted, as
// they may have failed for the same cause.
func (t *Tracker) ObserveCrash(fingerprint uint64, lifetime string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	e := t.entries[fingerprint]
	if now.Sub(e.last) > crashWindow {
		e = entry{}
	}
	if e.crashes > 0 && (e.lifetime == lifetime || !sent.After(e.last)) {
		return now.Before(e.blockedUntil)
	}
	e.lifetime = lifetime
	e.crashes++
	e.last = now
	if e.crashes >= crashesToBlock {
		e.blockedUntil = now.Add(blockDuration)
	}
	t.put(fingerprint, e, now)
	return e.crashes >= crashesToBlock
}

// ObserveAnswer forgets the crashes of a fingerprint that is not blocked, as a request that crashes upstreams is never
// answered. It reports whether there were any.
func (t *Tracker) ObserveAnswer(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[fingerprint]
	if !known || t.now().Before(e.blockedUntil) {
		return false
	}
	delete(t.entries, fingerprint)
	return true
}

// Block blocks fingerprints that another process found.
func (t *Tracker) Block(fingerprints []uint64) {
	if len(fingerprints) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, f := range fingerprints {
		e := t.entries[f]
		if now.Before(e.blockedUntil) {
			continue
		}
		e.crashes, e.last, e.blockedUntil = crashesToBlock, now, now.Add(blockDuration)
		t.put(f, e, now)
	}
}

// BlockedFor returns how long requests with the fingerprint are still refused; 0 when they are not.
func (t *Tracker) BlockedFor(fingerprint uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.entries[fingerprint].blockedUntil.Sub(t.now()))
}

// BlockedFingerprints returns up to 64 blocked fingerprints, sorted, for other processes.
func (t *Tracker) BlockedFingerprints() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []uint64
	for f, e := range t.entries {
		if now.Before(e.blockedUntil) && len(out) < maxListed {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// put stores an entry and evicts old ones when there are too many.
func (t *Tracker) put(fingerprint uint64, e entry, now time.Time) {
	if len(t.entries) >= maxEntries {
		for f, old := range t.entries {
			if now.Sub(old.last) > crashWindow || len(t.entries) > maxEntries/2 {
				delete(t.entries, f)
			}
		}
	}
	t.entries[fingerprint] = e
}
