package crash

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	crashesToBlock      = 2 // under the same whole request
	crashesToBlockPart  = 3 // under different requests with a part on which no answer has begun lately
	crashesToBlockKnown = 5 // the same for a part on which answers have begun, or if other entries are not heard

	crashWindow   = 60 * time.Second       // crashes under the same request that are further apart do not add up
	partWindow    = 10 * time.Minute       // the same for crashes under requests with the same part
	settleTime    = 100 * time.Millisecond // for all entries to report a crash
	blockDuration = 30 * time.Second       // from a crash; doubles for parts with each failed trial
	maxPause      = time.Hour              // from a failed trial to the next one
	trialTimeout  = 10 * time.Second       // without a result, after which there is another trial

	maxReports = 2048
	maxAnswers = 8192 // fingerprints that were answered, and parts on which answers have begun
	maxListed  = 64   // blocked fingerprints that other processes hear of, and blocks of parts
)

// Options are the dependencies of a Tracker.
type Options struct {
	Now func() time.Time
	// Leads reports whether this process hears the crashes and answers of all entries, so that it may blame requests.
	Leads func() bool
	// HearsOthers reports whether the other entries, if there are any, do report to this process.
	HearsOthers func() bool
}

// Tracker finds what the requests under which upstreams crash have in common: the whole request, or parts of its
// prompt. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu            sync.Mutex
	reports       []Report // in the order of their arrival
	byFingerprint map[uint64][]Report
	byPart        map[string][]Report // without those whose answers had begun
	byLifetime    map[string][]Report
	answered      map[uint64]time.Time // last whole answer, by fingerprint
	begun         map[string]time.Time // last answer that began on a part
	blockedUntil  map[uint64]time.Time // by fingerprint
	blocks        []Block
	unjudged      map[string]time.Time // parts with new reports, and when to judge them
	changes       changeLog
}

// New returns a tracker without crashes.
func New(o Options) *Tracker {
	return &Tracker{
		opts: o, byFingerprint: map[uint64][]Report{}, byPart: map[string][]Report{}, byLifetime: map[string][]Report{},
		answered: map[uint64]time.Time{}, begun: map[string]time.Time{}, blockedUntil: map[uint64]time.Time{},
		unjudged: map[string]time.Time{},
	}
}

// ObserveCrash counts a crash of an upstream while it ran a request, and reports whether the request is blocked by its
// fingerprint. Each lifetime counts once for a request or part, and requests that were sent before the crash counted
// last don't count, as they may have failed for the same cause.
func (t *Tracker) ObserveCrash(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if t.add(r, now) {
		t.extendBlocks(r, now)
		if t.opts.Leads() && len(t.fingerprintCrashes(r.Fingerprint, now)) >= crashesToBlock {
			t.blockedUntil[r.Fingerprint] = now.Add(blockDuration)
		}
	}
	return now.Before(t.blockedUntil[r.Fingerprint])
}

// add stores a report, and reports whether it is new.
func (t *Tracker) add(r Report, now time.Time) bool {
	if slices.ContainsFunc(t.byLifetime[r.Lifetime], func(k Report) bool { return k.Fingerprint == r.Fingerprint }) {
		return false
	}
	for len(t.reports) >= maxReports || len(t.reports) > 0 && now.Sub(t.reports[0].Broke) > partWindow {
		t.dropOldest()
	}
	r.heard, r.Parts = now, r.Parts[:min(len(r.Parts), maxParts)]
	t.changes.add(Change{Report: &r})
	t.reports = append(t.reports, r)
	t.byFingerprint[r.Fingerprint] = insert(t.byFingerprint[r.Fingerprint], r)
	t.byLifetime[r.Lifetime] = append(t.byLifetime[r.Lifetime], r)
	if r.Begun {
		return true
	}
	judgeAt := t.byLifetime[r.Lifetime][0].heard.Add(settleTime)
	for _, p := range r.Parts {
		t.byPart[p] = insert(t.byPart[p], r)
		t.unjudged[p] = judgeAt
	}
	return true
}

// insert adds a report to a list that is sorted by the time of the crash.
func insert(list []Report, r Report) []Report {
	at := len(list)
	for at > 0 && r.Broke.Before(list[at-1].Broke) {
		at--
	}
	return slices.Insert(list, at, r)
}

// dropOldest forgets the report that arrived first.
func (t *Tracker) dropOldest() {
	r := t.reports[0]
	t.reports = t.reports[1:]
	drop(t.byLifetime, r.Lifetime, r)
	drop(t.byFingerprint, r.Fingerprint, r)
	for _, p := range r.Parts {
		drop(t.byPart, p, r)
		if len(t.byPart[p]) == 0 {
			delete(t.unjudged, p)
		}
	}
}

// drop removes a report from the list of a key.
func drop[K comparable](lists map[K][]Report, key K, r Report) {
	lists[key] = slices.DeleteFunc(lists[key], func(k Report) bool {
		return k.Fingerprint == r.Fingerprint && k.Lifetime == r.Lifetime
	})
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// ObserveAnswer forgets the crashes under a request that is not blocked, as one that crashes upstreams is never
// answered to the end. It reports whether there were any.
func (t *Tracker) ObserveAnswer(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if now.Before(t.blockedUntil[fingerprint]) {
		return false
	}
	list := t.byFingerprint[fingerprint]
	cleared := len(list) > 0 && !list[len(list)-1].Broke.Before(t.answered[fingerprint])
	setLatest(t.answered, fingerprint, now)
	if cleared {
		t.changes.add(Change{Answered: fingerprint, At: now})
	}
	return cleared
}

// ObserveBegun records that an answer has begun on a prompt with these parts, which are not to blame for the crashes
// before. It returns the blocks that ended by that.
func (t *Tracker) ObserveBegun(parts []string) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for _, p := range parts {
		if list := t.byPart[p]; len(list) > 0 && list[len(list)-1].Broke.After(t.begun[p]) {
			t.changes.add(Change{Begun: p, At: now})
		}
		setLatest(t.begun, p, now)
	}
	return t.shrinkBlocks()
}

// setLatest notes the time of an answer, unless a later one is known. A quarter of the entries makes room when there
// are too many.
func setLatest[K comparable](times map[K]time.Time, key K, at time.Time) {
	if !at.After(times[key]) {
		return
	}
	if _, known := times[key]; !known && len(times) >= maxAnswers {
		sorted := slices.SortedFunc(maps.Values(times), time.Time.Compare)
		oldest := sorted[maxAnswers/4]
		maps.DeleteFunc(times, func(_ K, at time.Time) bool { return !at.After(oldest) })
	}
	times[key] = at
}
