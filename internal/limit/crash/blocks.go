package crash

import (
	"maps"
	"slices"
	"time"
)

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
	maps.DeleteFunc(t.blockedUntil, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	out := slices.Sorted(maps.Keys(t.blockedUntil))
	return out[:min(len(out), maxListed)]
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
