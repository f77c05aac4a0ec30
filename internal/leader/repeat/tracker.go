package repeat

import "time"

// deadlineTolerance is the largest difference between the deadlines of two attempts of the same request. They differ by
// the delays of callers and networks.
const deadlineTolerance = 250 * time.Millisecond

// firstAttempt is the first attempt of a request.
type firstAttempt struct {
	arrived  time.Time
	deadline time.Time
	retryAt  time.Time // when its caller may come back; zero unless it was refused
}

// Tracker remembers the first attempts of requests until their deadlines. One goroutine owns it.
type Tracker struct {
	attempts map[uint64]firstAttempt // by fingerprint of the request
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{attempts: map[uint64]firstAttempt{}} }

// Record records an attempt and returns the time since the first attempt of the same request, or 0 if this is the first
// one. A retry has the same fingerprint and about the same deadline as the first attempt.
func (t *Tracker) Record(fingerprint uint64, arrived, deadline time.Time) time.Duration {
	first, ok := t.attempts[fingerprint]
	if ok && deadline.Sub(first.deadline).Abs() < deadlineTolerance {
		return max(0, arrived.Sub(first.arrived))
	}
	t.attempts[fingerprint] = firstAttempt{arrived: arrived, deadline: deadline}
	return 0
}

// Refused records when the caller of a refused request may come back. Requests that are not known are ignored.
func (t *Tracker) Refused(fingerprint uint64, retryAt time.Time) {
	if first, ok := t.attempts[fingerprint]; ok {
		first.retryAt = retryAt
		t.attempts[fingerprint] = first
	}
}

// IsEarly reports whether an attempt came before the time that its caller was last told, by more than its delays explain.
func (t *Tracker) IsEarly(fingerprint uint64, arrived time.Time) bool {
	return arrived.Before(t.attempts[fingerprint].retryAt.Add(-deadlineTolerance))
}

// Sweep removes requests whose deadline has passed.
func (t *Tracker) Sweep(now time.Time) {
	for fingerprint, f := range t.attempts {
		if now.After(f.deadline) {
			delete(t.attempts, fingerprint)
		}
	}
}

// Len returns the number of remembered requests.
func (t *Tracker) Len() int { return len(t.attempts) }
