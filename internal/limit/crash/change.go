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

// Merge applies what the leader has learned, so that this process can replace it.
func (t *Tracker) Merge(changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for _, c := range changes {
		switch {
		case c.Report != nil:
			t.add(*c.Report, now)
			continue
		case c.Begun != "":
			t.setBegun(c.Begun, c.At)
		case len(t.byFingerprint[c.Answered]) > 0 && c.At.After(t.answered[c.Answered]):
			t.answered[c.Answered] = c.At
		}
		t.changes.add(c)
	}
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
