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

// Sink takes the tokens of a streamed answer as they come.
type Sink interface {
	// Token blocks while the caller is slow; an error means that the caller has gone.
	Token(index uint64, data []byte) error
}

// Policy decides about time and repetition.
type Policy interface {
	// Estimate is how long a stage is expected to take; 0 when unknown.
	Estimate(w StageInfo) time.Duration
	// Observe takes the end of an attempt.
	Observe(w StageInfo, e AttemptResult)
	// Retry says whether another attempt may follow a failed one, and after which pause.
	Retry(w StageInfo, t FailedAttempt) (time.Duration, bool)
	// HedgeAfter says whether a second attempt may start beside the first, and after which delay.
	HedgeAfter(w StageInfo) (time.Duration, bool)
	// ReserveHedge takes what a hedge may cost from the budget, and SettleHedge replaces it by what it did cost.
	ReserveHedge(w StageInfo) (time.Duration, bool)
	SettleHedge(reserved, cost time.Duration)
}

// StageInfo is a stage of a request, as decisions about it see it.
type StageInfo struct {
	Pipeline      string
	Stage         string
	Pool          string
	Class         pipe.SizeClass
	Repeatable    bool
	Remaining     time.Duration // until the request's deadline
	LaterEstimate time.Duration // that the stages after this one are expected to take
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Fault  *fault.Error // nil when whole
	Hedge  bool
	Took   time.Duration
	Runner time.Duration // that the upstream spent
	Load   *sidepb.Load  // the side's last report; may be nil
}

// FailedAttempt is a failed attempt that might be followed by another.
type FailedAttempt struct {
	Fault           *fault.Error
	Attempt         uint32 // of this stage, 1 is the first
	Retries         uint32 // of the whole request, but for those in FreeRetries
	OverloadRetries uint32 // of these, those after a refusal for overload
	FreeRetries     uint32 // of this stage, those after a refusal by an upstream that is leaving or was replaced
}

// Crash is an upstream that died with a call of this request in flight.
type Crash struct {
	ID          string // names the crash
	Fingerprint string
	InFlight    uint32 // calls that were in flight with it, this one included
}

// Observer sees what the executor learns.
type Observer interface {
	CountAttempt(r task.Request, c Cost)
	Crashed(c Crash)
	// Suspicion is what is known of a fingerprint now, the request's own crashes included.
	Suspicion(fingerprint string) Suspicion
	// Cleared takes a request that ran alone on its upstreams to its end.
	Cleared(fingerprint string)
}

// Suspicion says whether a request may have crashed upstreams.
type Suspicion string

// The suspicions.
const (
	Unsuspected Suspicion = "unsuspected"
	Suspect     Suspicion = "suspect"     // runs alone
	Quarantined Suspicion = "quarantined" // must not run
)

// Cost is what one attempt cost.
type Cost struct {
	Stage         string
	Kind          stage.Kind
	RunnerMs      int64
	Tokens        uint64
	PrefillTokens uint64
	CachedTokens  uint64
	Retry         bool
	Hedge         bool
	Wasted        bool // its result was not used
}

// Answer is a whole answer.
type Answer struct {
	Chunks   [][]byte
	Digest   string
	Streamed bool // the chunks are the tokens of a generation
	Replayed bool // the recorded outcome of an earlier run of the action
	Costs    []Cost
}

// Executor runs requests; it is safe for concurrent use.
type Executor struct {
	router  target.Router
	policy  Policy
	watcher Observer
	log     *zap.Logger
}

// New returns an executor over its dependencies.
func New(r target.Router, p Policy, w Observer, log *zap.Logger) *Executor {
	return &Executor{router: r, policy: p, watcher: w, log: log}
}

// Run runs the stages of r in order. With a nil sink the tokens are only collected.
// The error's verdict covers the whole request: NotRun only if no stage may have run.
func (e *Executor) Run(ctx context.Context, r task.Request, sink Sink) (Answer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run := newRun(e, r, sink)
	for i := range r.Stages {
		if f := run.stage(ctx, i); f != nil {
			return Answer{}, run.failure(f)
		}
	}
	if run.alone {
		e.watcher.Cleared(r.Fingerprint)
	}
	return run.answer(), nil
}
