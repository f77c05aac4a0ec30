package retry

import (
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	defaultRatio       = 0.1 // retries earned by a successful call
	maxCredit          = 20  // retries in a full budget
	maxRetries         = 3   // of a request, over all stages and hops
	maxFreeRetries     = 5   // of one stage, refused by leaving upstreams
	maxOverloadRetries = 1   // of a request, after a refusal for overload
)

// Reason says why a call is or is not retried.
type Reason string

// The reasons.
const (
	Draining   Reason = "draining"   // refused by an upstream that is leaving or replaced: retried elsewhere at no cost
	Overloaded Reason = "overloaded" // refused by a full upstream: retried elsewhere once
	Refused    Reason = "refused"    // did not run for another reason
	Repeatable Reason = "repeatable" // may have run, and may run again
	Final      Reason = "final"      // a retry would fail the same way
	Unsafe     Reason = "unsafe"     // may have run and must not run twice
	TooLate    Reason = "tooLate"    // no time is left for a retry
	TooMany    Reason = "tooMany"    // the request has been retried often enough
	NoBudget   Reason = "noBudget"   // the budget is spent
)

// Decision says whether a failed call is retried and why.
type Decision struct {
	Again  bool
	Reason Reason
}

// Failure describes a failed call.
type Failure struct {
	Err        *fault.Error
	Repeatable bool // may run twice without harm
	// Retries counts the retries of the request over all stages and hops, except the free ones. It is sent with each call.
	Retries uint32
	// FreeRetries counts the retries of this stage that cost no budget.
	FreeRetries uint32
	// OverloadRetries counts those of Retries that followed a refusal for overload.
	OverloadRetries uint32
	Remaining       time.Duration // until the request's deadline
	Estimate        time.Duration // expected time of this and the later stages
}

// Budget bounds the retries to one pool. Successful calls of the pool earn it, so that an outage earns none.
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64 // retries earned by a successful call
	credit float64 // retries left
}

// New returns a full budget that earns ratio retries per successful call; 0 means 0.1, a negative ratio none.
func New(ratio float64) *Budget {
	b := &Budget{credit: maxCredit}
	b.Set(ratio)
	return b
}

// Set changes the ratio of retries to successful calls; 0 means 0.1, a negative ratio none.
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

// Succeeded counts a successful call, which earns a fraction of a retry.
func (b *Budget) Succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+b.ratio)
}

// Decide decides whether to retry a failed call, and if so takes the retry out of the budget.
func (b *Budget) Decide(f Failure) Decision {
	reason := classify(f)
	switch reason {
	case Final, Unsafe:
		return Decision{Reason: reason}
	}
	switch {
	case limitReached(f, reason):
		return Decision{Reason: TooMany}
	case f.Remaining <= f.Estimate:
		return Decision{Reason: TooLate}
	case reason != Draining && !b.take():
		return Decision{Reason: NoBudget}
	}
	return Decision{Again: true, Reason: reason}
}

// limitReached reports whether no retry is left for the request or stage. Free retries are counted separately, as a
// whole zone may be leaving while a request of many stages runs.
func limitReached(f Failure, reason Reason) bool {
	switch reason {
	case Draining:
		return f.FreeRetries >= maxFreeRetries
	case Overloaded:
		return f.Retries >= maxRetries || f.OverloadRetries >= maxOverloadRetries
	}
	return f.Retries >= maxRetries
}

// take takes a retry out of the budget; false when it is spent.
func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// classify returns why a failed call may be retried, or Final or Unsafe if it must not be. It checks neither the budget
// nor the limits.
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
