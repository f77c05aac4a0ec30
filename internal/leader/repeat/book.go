package repeat

import "time"

// sameDeadline is how far apart the deadlines of two visits may be, as callers and networks take their time.
const sameDeadline = 250 * time.Millisecond

// first is the first visit of a request.
type first struct {
	arrived  time.Time
	deadline time.Time
}

// Book holds the first visits of requests until their deadlines; it is owned by one goroutine.
type Book struct {
	firsts map[uint64]first // by fingerprint
}

// New returns an empty book.
func New() *Book { return &Book{firsts: map[uint64]first{}} }

// Note returns how long before its arrival the caller of a request has first sent it; 0 for a first visit. A caller
// comes back with the same request and the same deadline.
func (b *Book) Note(fingerprint uint64, arrived, deadline time.Time) time.Duration {
	known, ok := b.firsts[fingerprint]
	if ok && deadline.Sub(known.deadline).Abs() < sameDeadline {
		return max(0, arrived.Sub(known.arrived))
	}
	b.firsts[fingerprint] = first{arrived: arrived, deadline: deadline}
	return 0
}

// Sweep forgets requests whose deadline has passed.
func (b *Book) Sweep(now time.Time) {
	for fingerprint, f := range b.firsts {
		if now.After(f.deadline) {
			delete(b.firsts, fingerprint)
		}
	}
}

// Len is the number of requests held.
func (b *Book) Len() int { return len(b.firsts) }
