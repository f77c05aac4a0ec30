package exec

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Sink receives the tokens of a streamed answer as they arrive.
type Sink interface {
	// Token sends a token and blocks while the caller is slow; an error means that the caller has disconnected.
	Token(index uint64, data []byte) error
}

// Policy estimates stage times and decides about retries and hedges.
type Policy interface {
	// Estimate returns how long a stage is expected to take; 0 when unknown.
	Estimate(s StageInfo) time.Duration
	// Observe records the result of an attempt.
	Observe(s StageInfo, r AttemptResult)
	// Retry reports whether another attempt may follow a failed one, and after which backoff.
	Retry(s StageInfo, failed FailedAttempt) (time.Duration, bool)
	// HedgeAfter reports whether a hedge may start beside the first attempt, and after which delay.
	HedgeAfter(s StageInfo) (time.Duration, bool)
	// ReserveHedge reserves the expected cost of a hedge from the budget; false when the budget is too small.
	ReserveHedge(s StageInfo) (time.Duration, bool)
	// SettleHedge replaces the reservation of a hedge by its actual cost.
	SettleHedge(reserved, cost time.Duration)
}

// StageInfo describes a stage of a request to the policy.
type StageInfo struct {
	Pipeline      string
	Stage         string
	Pool          string
	Class         pipe.SizeClass
	Repeatable    bool
	Remaining     time.Duration // time until the request's deadline
	LaterEstimate time.Duration // expected time of all later stages
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Fault  *fault.Error // nil when the answer is complete
	Hedge  bool
	Took   time.Duration // from the attempt's start to its end, as this entry measured it
	Runner time.Duration // time that the upstream spent
	Load   *sidepb.Load  // the side's last load report; may be nil
}

// FailedAttempt is a failed attempt that may be retried, with the retries so far.
type FailedAttempt struct {
	Fault           *fault.Error
	Attempt         uint32 // number of the attempt within its stage, from 1
	Retries         uint32 // retries of the whole request, without the FreeRetries
	OverloadRetries uint32 // those of Retries that followed a refusal for overload
	FreeRetries     uint32 // retries of this stage after a refusal by an upstream that is draining or was replaced
}

// Crash is the crash of an upstream that had a call of this request in flight.
type Crash struct {
	ID          string // unique per crash
	Fingerprint string
	InFlight    uint32 // calls in flight on the upstream, this one included
}

// Observer receives the costs and crashes that the executor sees, and knows which requests are suspected of crashes.
type Observer interface {
	// CountAttempt records the cost of an attempt that may have run.
	CountAttempt(r task.Request, c Cost)
	// Crashed records a crash.
	Crashed(c Crash)
	// Suspicion returns the current state of a fingerprint, the request's own crashes included.
	Suspicion(fingerprint string) Suspicion
	// Cleared records that a request finished while it ran alone on its upstreams.
	Cleared(fingerprint string)
}

// Suspicion says whether requests with a fingerprint may crash upstreams.
type Suspicion string

// The states of a fingerprint.
const (
	Unsuspected Suspicion = "unsuspected"
	Suspect     Suspicion = "suspect"     // runs alone
	Quarantined Suspicion = "quarantined" // must not run
)

// Cost is the cost of one attempt.
type Cost struct {
	Stage         string
	Kind          stage.Kind
	RunnerMs      int64  // time that the upstream spent
	Tokens        uint64 // tokens generated
	PrefillTokens uint64 // prompt tokens computed
	CachedTokens  uint64 // prompt tokens found in a prefix cache
	Retry         bool
	Hedge         bool
	Wasted        bool // its result was not used
}

// Answer is a complete answer.
type Answer struct {
	Chunks   [][]byte
	Digest   string // of the chunks
	Streamed bool   // the chunks are the tokens of a generation
	Replayed bool   // the answer is the recorded outcome of an earlier run of the action
	Costs    []Cost
}

// Executor runs requests; it is safe for concurrent use.
type Executor struct {
	router   target.Router
	policy   Policy
	observer Observer
	log      *zap.Logger
}

// New returns an executor with the given dependencies.
func New(r target.Router, p Policy, o Observer, log *zap.Logger) *Executor {
	return &Executor{router: r, policy: p, observer: o, log: log}
}

// Run runs the stages of r in order. With a nil sink the tokens are collected but not streamed.
// The verdict of a failure covers the whole request: it is NotRun only if no stage may have run.
func (e *Executor) Run(ctx context.Context, r task.Request, sink Sink) (Answer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run := newRequestRun(e, r, sink)
	for i := range r.Stages {
		if f := run.runStage(ctx, i); f != nil {
			return Answer{}, run.failure(f)
		}
	}
	if run.alone {
		e.observer.Cleared(r.Fingerprint)
	}
	return run.answer(), nil
}
