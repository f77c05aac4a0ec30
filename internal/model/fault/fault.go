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
	Conflict     Code = "conflict"
	TooLarge     Code = "tooLarge"
	SlowBody     Code = "slowBody"
	KeyReused    Code = "keyReused"
	KeyExpired   Code = "keyExpired"
	Quarantined  Code = "quarantined"
	OverLimit    Code = "overLimit"
	Overloaded   Code = "overloaded"
	Draining     Code = "draining"
	NotReady     Code = "notReady"
	NoUpstream   Code = "noUpstream"
	LogDown      Code = "logDown"
	TooLate      Code = "tooLate"
	Deadline     Code = "deadline"
	Canceled     Code = "canceled"
	Tombstoned   Code = "tombstoned"
	WrongTarget  Code = "wrongTarget"
	Crashed      Code = "crashed"
	Silent       Code = "silent"
	Transport    Code = "transport"
	Malformed    Code = "malformed"
	Incomplete   Code = "incomplete"
	InProgress   Code = "inProgress"
	Upstream     Code = "upstream"
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
