package crash

import (
	"slices"
	"time"
)

const (
	maxChanges     = 4096 // kept
	maxChangeBatch = 32   // returned at once, which bounds what a crash of many upstreams adds to one message
	maxOwnReports  = 64

	maxFirstBatches = 8 // that a process which knows nothing yet is told
	ownReportTTL    = 30 * time.Second
)

// Change is something that a tracker learned: a crash, or an answer that ends the suspicion of a request or a part.
type Change struct {
	Report   *Report // nil for an answer
	Answered uint64  // fingerprint of a request that was answered to the end; 0 if Begun is set
	Begun    string  // part on which an answer has begun
	At       time.Time
}

// changeLog holds the latest changes, numbered from 1 on.
type changeLog struct {
	list []Change
	next int64 // number of the change that comes next, less one
}

func (l *changeLog) add(c Change) {
	if len(l.list) >= maxChanges {
		l.list = slices.Delete(l.list, 0, maxChanges/4)
	}
	l.list = append(l.list, c)
	l.next++
}

// since returns changes after the given number, and the number of the last one returned.
func (l *changeLog) since(number int64) ([]Change, int64) {
	if number == 0 {
		number = l.next - maxFirstBatches*maxChangeBatch
	}
	first := l.next - int64(len(l.list))
	from := max(number, first)
	n := min(l.next-from, maxChangeBatch)
	if n <= 0 {
		return nil, l.next
	}
	return slices.Clone(l.list[from-first : from-first+n]), from + n
}

// Changes returns the changes after the one with the given number, as many as fit in a message, and the number of the
// last of them. A process that knows nothing yet passes 0, and is told the latest.
func (t *Tracker) Changes(since int64) ([]Change, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes.since(since)
}

// Merge applies what another process has learned. It returns answers that were given here after the crashes among it,
// which that process may not know of.
func (t *Tracker) Merge(changes []Change) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var known []Change
	for _, c := range changes {
		switch {
		case c.Report != nil:
			if t.add(*c.Report, now) {
				known = append(known, t.answersSince(*c.Report)...)
			}
		case c.Begun != "":
			setLatest(t.begun, c.Begun, c.At)
			t.changes.add(c)
		default:
			setLatest(t.answered, c.Answered, c.At)
			t.changes.add(c)
			if len(t.fingerprintCrashes(c.Answered, now)) < crashesToBlock {
				delete(t.blockedUntil, c.Answered)
			}
		}
	}
	t.shrinkBlocks()
	return known
}

// answersSince returns the answers to the same request, or on the same parts, since a crash.
func (t *Tracker) answersSince(r Report) []Change {
	var out []Change
	if at := t.answered[r.Fingerprint]; at.After(r.Broke) {
		out = append(out, Change{Answered: r.Fingerprint, At: at})
	}
	if r.Begun {
		return out
	}
	for _, p := range r.Parts {
		if at := t.begun[p]; at.After(r.Broke) {
			out = append(out, Change{Begun: p, At: at})
		}
	}
	return out
}

// OwnReports returns the latest crashes that this process saw itself, for a leader that may not know them.
func (t *Tracker) OwnReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	var out []Report
	for _, r := range t.reports {
		if r.Own && now.Sub(r.Broke) < ownReportTTL {
			out = append(out, r)
		}
	}
	return out[max(0, len(out)-maxOwnReports):]
}
