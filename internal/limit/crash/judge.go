package crash

import (
	"slices"
	"time"
)

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
	if known || !t.opts.HearsOthers() {
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
