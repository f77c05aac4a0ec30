package report

import (
	"maps"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const (
	maxLateness = 8 * time.Second // between the sending of a report and its execution
	retention   = 2 * time.Minute // of lifetimes that left
)

// Verdict says how a report relates to what is known of its lifetime.
type Verdict string

// Verdicts on reports.
const (
	Current  Verdict = "current"
	Late     Verdict = "late"     // it was sent before another one that is known, or before the upstream left
	Doubtful Verdict = "doubtful" // it may have been sent before the upstream left
)

// History remembers the reports of upstreams. It is not safe for concurrent use.
type History struct {
	interval   func() time.Duration
	now        func() time.Time
	byLifetime map[hosts.Lifetime]lifetime
}

// lifetime is what is known of the reports of one run of a back end.
type lifetime struct {
	sequence int64 // of the latest report
	readAt   time.Time
	leftAt   time.Time // zero while it is listed
}

// New returns an empty history of upstreams that report at the given interval.
func New(interval func() time.Duration, now func() time.Time) *History {
	return &History{interval: interval, now: now, byLifetime: map[hosts.Lifetime]lifetime{}}
}

// Add judges a report by its sequence, which rises with each report of a lifetime, and remembers it if it is current. A sequence
// of 0 and a lifetime without a start stand for unknown ones; such reports are current.
func (h *History) Add(l hosts.Lifetime, sequence int64) Verdict {
	if sequence <= 0 || l.StartedMs == 0 {
		return Current
	}
	now := h.now()
	last, known := h.byLifetime[l]
	left := !last.leftAt.IsZero()
	switch {
	case known && (sequence < last.sequence || (left && sequence == last.sequence)):
		return Late
	case left && now.Sub(last.leftAt) < maxLateness && sequence <= h.lastSequence(l, last):
		return Doubtful
	case !known || sequence > last.sequence:
		last = lifetime{sequence: sequence, readAt: now}
	}
	last.leftAt = time.Time{}
	h.byLifetime[l] = last
	return Current
}

// lastSequence estimates the sequence of the last report before a lifetime left. The store holds only reports that say
// something new, so there may be later ones than the latest that was read.
func (h *History) lastSequence(l hosts.Lifetime, last lifetime) int64 {
	interval := h.interval()
	if interval <= 0 {
		return 0
	}
	sinceRead := last.leftAt.Sub(last.readAt)
	sinceStart := time.Duration(last.leftAt.UnixMilli()-l.StartedMs) * time.Millisecond
	return max(last.sequence+int64(sinceRead/interval), 1+int64(sinceStart/interval))
}

// Confirm takes a doubtful report for a current one.
func (h *History) Confirm(l hosts.Lifetime, sequence int64) {
	h.byLifetime[l] = lifetime{sequence: sequence, readAt: h.now()}
}

// Left records that a lifetime has left.
func (h *History) Left(l hosts.Lifetime) {
	now := h.now()
	if last, known := h.byLifetime[l]; known {
		last.leftAt = now
		h.byLifetime[l] = last
	}
	maps.DeleteFunc(h.byLifetime, func(_ hosts.Lifetime, r lifetime) bool {
		return !r.leftAt.IsZero() && now.Sub(r.leftAt) > retention
	})
}
