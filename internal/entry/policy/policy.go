package policy

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	maxAttempts = 3
	retryPause  = 20 * time.Millisecond
)

// Policy implements exec.Policy.
type Policy struct{}

// New returns a policy.
func New() *Policy { return &Policy{} }

// Estimate is how long a stage is expected to take; 0 when unknown.
func (p *Policy) Estimate(string, pipe.SizeClass) time.Duration { return 0 }

// Observe takes how long a whole stage took.
func (p *Policy) Observe(string, pipe.SizeClass, time.Duration) {}

// Began counts a stage's first attempt.
func (p *Policy) Began() {}

// Retry says whether another attempt may follow, and after which pause.
func (p *Policy) Retry(t exec.Try) (time.Duration, bool) {
	if final(t.Fault.Code) || t.Attempt >= maxAttempts || t.Remaining <= retryPause {
		return 0, false
	}
	if !t.Repeatable && t.Fault.Verdict != fault.NotRun {
		return 0, false
	}
	return retryPause, true
}

// HedgeAfter says whether a second attempt may start, and after which delay.
func (p *Policy) HedgeAfter(string, pipe.SizeClass, float64) (time.Duration, bool) { return 0, false }

// Hedge takes a hedge from the budget.
func (p *Policy) Hedge(float64) bool { return false }

// final says whether the same call would fail again anywhere.
func final(c fault.Code) bool {
	switch c {
	case fault.BadRequest, fault.TooLarge, fault.KeyReused, fault.KeyExpired, fault.Quarantined,
		fault.TooLate, fault.Deadline, fault.Canceled, fault.InProgress, fault.Tombstoned:
		return true
	}
	return false
}
