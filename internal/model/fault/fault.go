package fault

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request ran, may have run or did not run.
type Verdict string

// The verdicts.
const (
	// NotRun means the request did not run and never will.
	NotRun Verdict = "notRun"
	// MayHaveRun means it is unknown whether the request ran.
	MayHaveRun Verdict = "mayHaveRun"
	// Ran means the request ran; its answer may have been lost.
	Ran Verdict = "ran"
)

// Code is the category of an error.
type Code string

// The codes.
const (
	BadRequest   Code = "badRequest"
	Unauthorized Code = "unauthorized"
	Forbidden    Code = "forbidden"
	NotFound     Code = "notFound"
	Conflict     Code = "conflict" // contradicts the current state, such as an action that an operator has settled
	TooLarge     Code = "tooLarge"
	SlowBody     Code = "slowBody"    // the request body took too long
	KeyReused    Code = "keyReused"   // the action's key was used with another body
	KeyExpired   Code = "keyExpired"  // the action's key is older than timing.ActionWindow
	Quarantined  Code = "quarantined" // requests like this one crashed upstreams
	OverLimit    Code = "overLimit"   // the team is over its share or rate
	Overloaded   Code = "overloaded"  // an entry, an upstream or a pool has no room for the request
	Draining     Code = "draining"    // the entry or the upstream is shutting down or asked for a pause
	NotReady     Code = "notReady"    // no configuration, preset or connection yet, or the pipeline is closed
	NoUpstream   Code = "noUpstream"  // no upstream is known or can be reached
	LogDown      Code = "logDown"     // the log did not answer in time
	TooLate      Code = "tooLate"     // the remaining time does not suffice
	Deadline     Code = "deadline"    // the deadline passed
	Canceled     Code = "canceled"    // the caller went away
	Tombstoned   Code = "tombstoned"  // the attempt was canceled or refused before, or is too old, and must not run
	WrongTarget  Code = "wrongTarget" // the call is meant for another incarnation
	Crashed      Code = "crashed"     // the upstream crashed during the request
	Silent       Code = "silent"      // the upstream or its connection made no progress in time
	Transport    Code = "transport"   // the connection failed
	Malformed    Code = "malformed"   // the answer is not valid
	Incomplete   Code = "incomplete"  // the answer broke off or has gaps
	InProgress   Code = "inProgress"  // the attempt or the action may be running already
	Upstream     Code = "upstream"    // the upstream answered with an error
	Internal     Code = "internal"
)

// Error is a failed request, stage or attempt.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration // zero if unknown
	Cause      error
}

// New returns an error without a cause.
func New(v Verdict, c Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: c, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy that tells the caller when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy with another verdict.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// Error renders the verdict, the code, the message and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in err's chain; any other error is wrapped with the verdict MayHaveRun, as it does not show
// whether the request ran.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "unexpected error").WithCause(err)
}
