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
	crashesToBlockKnown = 5 // the same for a part on which answers have begun

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

// sequence returns the reports that prove crashes one after the other: each request was sent after the crash before.
// isRepeat says whether a report adds nothing to another one.
func sequence(list []Report, counts func(Report) bool, isRepeat func(a, b Report) bool) []Report {
	var out []Report
	for _, r := range list {
		if !counts(r) || (len(out) > 0 && !r.Sent.After(out[len(out)-1].Broke)) {
			continue
		}
		if !slices.ContainsFunc(out, func(k Report) bool { return isRepeat(k, r) }) {
			out = append(out, r)
		}
	}
	return out
}

// fingerprintCrashes returns the crashes for which a whole request may be to blame.
func (t *Tracker) fingerprintCrashes(fingerprint uint64, now time.Time) []Report {
	answered := t.answered[fingerprint]
	return sequence(t.byFingerprint[fingerprint], func(r Report) bool {
		return !r.Broke.Before(answered) && now.Sub(r.Broke) <= crashWindow && !t.isExplained(r.Lifetime)
	}, func(a, b Report) bool { return a.Lifetime == b.Lifetime })
}

// partCrashes returns the crashes for which a part may be to blame: under requests that differ, since an answer last
// began on the part.
func (t *Tracker) partCrashes(part string) []Report {
	begun := t.begun[part]
	return sequence(t.byPart[part], func(r Report) bool {
		return r.Broke.After(begun) && !t.isExplained(r.Lifetime)
	}, func(a, b Report) bool { return a.Lifetime == b.Lifetime || a.Fingerprint == b.Fingerprint })
}

// isExplained reports whether a request that is blocked for its parts was in flight when a lifetime ended.
func (t *Tracker) isExplained(lifetime string) bool {
	return slices.ContainsFunc(t.byLifetime[lifetime], func(r Report) bool {
		return !r.Begun && slices.ContainsFunc(t.blocks, func(b Block) bool { return b.covers(r.Parts) })
	})
}

// suspect is a part with enough crashes to be blocked.
type suspect struct {
	block   Block
	crashes int
	excess  int // crashes beyond the number that is needed
}

// Judge blocks parts that have come under suspicion, and returns the new blocks. Of several suspects the one with most
// evidence is blocked first, as the others may only have been beside it; two that are alike wait for one more crash.
func (t *Tracker) Judge() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unjudged) == 0 || !t.opts.Leads() {
		return nil
	}
	now := t.opts.Now()
	var due []string
	for p, at := range t.unjudged {
		if !now.Before(at) {
			due = append(due, p)
			delete(t.unjudged, p)
		}
	}
	slices.Sort(due)
	var made []Block
	for range due {
		best, found := t.mostSuspect(due, now)
		if !found {
			break
		}
		t.setBlock(best)
		made = append(made, best)
	}
	return made
}

// mostSuspect returns the block for the most suspect of the parts, if there is one.
func (t *Tracker) mostSuspect(parts []string, now time.Time) (Block, bool) {
	var best suspect
	tie := false
	for _, p := range parts {
		s, ok := t.suspicion(p, now)
		switch {
		case !ok:
		case best.crashes == 0 || s.excess > best.excess || s.excess == best.excess && s.crashes > best.crashes:
			best, tie = s, false
		case s.excess == best.excess && s.crashes == best.crashes && !slices.Equal(s.block.Parts, best.block.Parts):
			tie = true
		}
	}
	return best.block, best.crashes > 0 && (!tie || best.excess > 0)
}

// suspicion returns what speaks against a part, if that is enough to block it. The block also names the parts that
// were there at each of the crashes, so that it refuses no request without them; it shrinks once answers begin on them.
func (t *Tracker) suspicion(part string, now time.Time) (suspect, bool) {
	needed := crashesToBlockPart
	_, known := t.begun[part]
	if known {
		needed = crashesToBlockKnown
	}
	crashes := t.partCrashes(part)
	if len(crashes) < needed {
		return suspect{}, false
	}
	first := crashes[0].Broke
	common := slices.DeleteFunc(slices.Clone(crashes[0].Parts), func(p string) bool {
		begun, begunBefore := t.begun[p]
		return begun.After(first) || begunBefore && !known
	})
	for _, r := range t.byPart[part] {
		if !r.Broke.Before(first) {
			common = slices.DeleteFunc(common, func(p string) bool { return !slices.Contains(r.Parts, p) })
		}
	}
	slices.Sort(common)
	b := Block{Parts: common, First: first, Until: now.Add(blockDuration), Pause: blockDuration}
	return suspect{block: b, crashes: len(crashes), excess: len(crashes) - needed}, true
}

// setBlock adds a block, in place of one of the same parts; the block that ends first makes room.
func (t *Tracker) setBlock(b Block) {
	t.blocks = slices.DeleteFunc(t.blocks, func(k Block) bool { return slices.Equal(k.Parts, b.Parts) })
	if len(t.blocks) >= maxListed {
		t.blocks = slices.Delete(t.blocks, 0, 1)
	}
	t.blocks = append(t.blocks, b)
	slices.SortStableFunc(t.blocks, func(a, b Block) int { return a.Until.Compare(b.Until) })
}

// extendBlocks puts the next trial off after a crash under a blocked request, and makes the pauses longer if that was a
// trial.
func (t *Tracker) extendBlocks(r Report, now time.Time) {
	if r.Begun {
		return
	}
	for i, b := range t.blocks {
		if !b.covers(r.Parts) {
			continue
		}
		if !b.trialAt.IsZero() && !r.Sent.Before(b.trialAt) {
			b.Pause, b.trialAt = min(2*b.Pause, maxPause), time.Time{}
		}
		if until := now.Add(b.Pause); until.After(b.Until) {
			b.Until = until
		}
		t.blocks[i] = b
	}
}

// Admit returns how long requests with this fingerprint or these parts are still refused; 0 admits this one. A trial is
// a request that is admitted although its parts are blocked, to see whether they still crash upstreams.
func (t *Tracker) Admit(fingerprint uint64, parts []string) (wait time.Duration, trial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if wait := t.blockedFor(fingerprint, parts, now); wait > 0 {
		return wait, false
	}
	for i, b := range t.blocks {
		if b.covers(parts) {
			t.blocks[i].trialAt, t.blocks[i].Until, trial = now, now.Add(trialTimeout), true
		}
	}
	return 0, trial
}

// BlockedFor returns how long requests with this fingerprint or these parts are still refused; 0 when they are not.
func (t *Tracker) BlockedFor(fingerprint uint64, parts []string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blockedFor(fingerprint, parts, t.opts.Now())
}

func (t *Tracker) blockedFor(fingerprint uint64, parts []string, now time.Time) time.Duration {
	wait := max(0, t.blockedUntil[fingerprint].Sub(now))
	for _, b := range t.blocks {
		if b.covers(parts) {
			wait = max(wait, b.Until.Sub(now))
		}
	}
	return wait
}

// IsSuspect reports whether another request with one of these parts crashed another upstream, and no answer has begun
// on that part since.
func (t *Tracker) IsSuspect(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(r.Parts, func(p string) bool {
		return slices.ContainsFunc(t.byPart[p], func(k Report) bool {
			return k.Lifetime != r.Lifetime && k.Fingerprint != r.Fingerprint && k.Broke.After(t.begun[p])
		})
	})
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

// shrinkBlocks takes the parts out of the blocks on which answers have begun since the first crash, and returns the
// blocks of which nothing was left.
func (t *Tracker) shrinkBlocks() []Block {
	var ended []Block
	kept := t.blocks[:0:0]
	for _, b := range t.blocks {
		left := t.withoutBegun(b)
		if len(left) == 0 {
			ended = append(ended, b)
			continue
		}
		b.Parts = left
		kept = append(kept, b)
	}
	t.blocks = kept
	return ended
}

// withoutBegun returns the parts of a block on which no answer has begun since the first crash.
func (t *Tracker) withoutBegun(b Block) []string {
	return slices.DeleteFunc(slices.Clone(b.Parts), func(p string) bool { return t.begun[p].After(b.First) })
}

// SetBlocked replaces the blocked fingerprints by those of the leader, which lists the first 64.
func (t *Tracker) SetBlocked(fingerprints []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	if len(fingerprints) < maxListed {
		maps.DeleteFunc(t.blockedUntil, func(f uint64, _ time.Time) bool { return !slices.Contains(fingerprints, f) })
	}
	for _, f := range fingerprints {
		if !now.Before(t.blockedUntil[f]) {
			t.blockedUntil[f] = now.Add(blockDuration)
		}
	}
}

// BlockedFingerprints returns up to 64 blocked fingerprints, sorted, for other processes.
func (t *Tracker) BlockedFingerprints() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var out []uint64
	for f, until := range t.blockedUntil {
		if now.Before(until) && len(out) < maxListed {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// Blocks returns the blocks of parts, for other processes and for operators.
func (t *Tracker) Blocks() []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.blocks)
}

// SetBlocks replaces the blocks by those of the leader.
func (t *Tracker) SetBlocks(blocks []Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocks = slices.Clone(blocks)
}

// AddBlocks adds the blocks that an entry knows of, but for parts on which answers have begun since they were made.
func (t *Tracker) AddBlocks(blocks []Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range blocks {
		b.Parts = t.withoutBegun(b)
		known := slices.ContainsFunc(t.blocks, func(k Block) bool { return isSubset(k.Parts, b.Parts) })
		if len(b.Parts) > 0 && !known {
			t.setBlock(b)
		}
	}
}
