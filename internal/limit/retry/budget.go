package retry

import (
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	defaultRatio   = 0.1
	defaultBurst   = 20 // calls
	maxPerRequest  = 3  // calls
	maxElsewhere   = 5  // calls of one stage that upstreams which are leaving refused
	overloadedOnce = 1  // calls
)

// Reason says why a call is or is not sent again.
type Reason string

// The reasons.
const (
	Draining   Reason = "draining"   // refused by an upstream that is leaving or was replaced: sent elsewhere at no cost
	Overloaded Reason = "overloaded" // refused by a full upstream: sent elsewhere once
	Refused    Reason = "refused"    // did not run for another reason
	Repeatable Reason = "repeatable" // may have run, and may run again
	Final      Reason = "final"      // another call would end the same way
	Unsafe     Reason = "unsafe"     // may have run and must not run twice
	TooLate    Reason = "tooLate"    // no time is left for another call
	TooMany    Reason = "tooMany"    // the request has been retried often enough
	NoBudget   Reason = "noBudget"   // the budget is spent
)

// Decision says what follows a failed call.
type Decision struct {
	Again  bool
	Reason Reason
}

// Failure describes a failed call.
type Failure struct {
	Err        *fault.Error
	Repeatable bool
	// Retries of the request so far, over all stages and hops, but for those that cost nothing; it travels on each call.
	Retries uint32
	// FreeRetries counts the retries of this stage that cost nothing.
	FreeRetries uint32
	// OverloadRetries counts the retries of this stage that followed a refusal for overload.
	OverloadRetries uint32
	Remaining       time.Duration // until the request's deadline
	Estimate        time.Duration // that this and the later stages are expected to take
}

// Budget bounds the extra calls to one pool; it is earned by the pool's successful calls, so that an outage earns none.
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	credit float64
}

// New returns a full budget of ratio extra calls per successful call; 0 means 0.1, negative none.
func New(ratio float64) *Budget {
	b := &Budget{credit: defaultBurst}
	b.Set(ratio)
	return b
}

// Set changes the ratio.
func (b *Budget) Set(ratio float64) {
	if ratio == 0 {
		ratio = defaultRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = max(0, ratio)
	if b.ratio == 0 {
		b.credit = 0
	}
}

// Succeeded earns a part of a retry.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(defaultBurst, b.credit+b.ratio)
}

// Decide says whether to send the call again, and takes the retry out of the budget if so.
func (b *Budget) Decide(f Failure) Decision {
	reason := classify(f)
	switch reason {
	case Final, Unsafe:
		return Decision{Reason: reason}
	}
	switch {
	case tooMany(f, reason):
		return Decision{Reason: TooMany}
	case f.Remaining <= f.Estimate:
		return Decision{Reason: TooLate}
	case reason != Draining && !b.take():
		return Decision{Reason: NoBudget}
	}
	return Decision{Again: true, Reason: reason}
}

// tooMany counts the retries that cost nothing apart, as a whole zone may be leaving under a request of many stages.
func tooMany(f Failure, reason Reason) bool {
	switch reason {
	case Draining:
		return f.FreeRetries >= maxElsewhere
	case Overloaded:
		return f.Retries >= maxPerRequest || f.OverloadRetries >= overloadedOnce
	}
	return f.Retries >= maxPerRequest
}

func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func classify(f Failure) Reason {
	switch f.Err.Code {
	case fault.BadRequest, fault.Unauthorized, fault.Forbidden, fault.NotFound, fault.TooLarge, fault.KeyReused,
		fault.KeyExpired, fault.Quarantined, fault.OverLimit, fault.Deadline, fault.Canceled, fault.TooLate, fault.InProgress:
		return Final
	}
	switch {
	case f.Err.Verdict == fault.NotRun && (f.Err.Code == fault.Draining || f.Err.Code == fault.WrongTarget):
		return Draining
	case f.Err.Verdict == fault.NotRun && f.Err.Code == fault.Overloaded:
		return Overloaded
	case f.Err.Verdict == fault.NotRun:
		return Refused
	case f.Repeatable:
		return Repeatable
	}
	return Unsafe
}
