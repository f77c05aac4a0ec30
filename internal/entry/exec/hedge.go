package exec

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
)

// attemptOrHedge makes one attempt, and a hedge beside it if the policy allows one.
func (s *stageRun) attemptOrHedge(ctx context.Context) (result, *fault.Error) {
	if ctx.Err() != nil {
		return result{}, contextError(ctx, fault.NotRun)
	}
	t, f := s.route(false)
	if f != nil {
		return result{}, f
	}
	first := s.newAttempt(ctx, t, false)
	delay, allowed := s.hedgeAfter()
	if !allowed {
		return s.runSingle(ctx, first)
	}
	return s.race(ctx, first, delay)
}

// runSingle runs an attempt without a hedge and keeps the tokens of a failed generation to resume from.
func (s *stageRun) runSingle(ctx context.Context, a *attempt) (result, *fault.Error) {
	res, f := a.run(ctx)
	if f != nil && s.spec.Kind == stage.Generate && f.Verdict != fault.NotRun {
		s.resumeTokens = a.answer.Chunks()
	}
	return res, f
}

// hedgeAfter asks the policy whether to hedge. Only the first attempt of a repeatable stage that does not generate is
// hedged, and only if the request need not run alone.
func (s *stageRun) hedgeAfter() (time.Duration, bool) {
	if s.spec.IsAction() || s.spec.Kind == stage.Generate || s.attempts > 1 || s.run.alone {
		return 0, false
	}
	return s.run.executor.policy.HedgeAfter(s.info())
}

// attemptOutcome is the outcome of one of two racing attempts.
type attemptOutcome struct {
	res result
	f   *fault.Error
}

// race starts a hedge after delay; the first complete answer wins and the other attempt is canceled.
func (s *stageRun) race(ctx context.Context, first *attempt, delay time.Duration) (result, *fault.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan attemptOutcome, 2)
	start := func(a *attempt) {
		res, f := a.run(ctx)
		outcomes <- attemptOutcome{res: res, f: f}
	}
	go start(first)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last attemptOutcome
	for running > 0 {
		select {
		case last = <-outcomes:
			running--
			if last.f == nil {
				return last.res, nil
			}
		case <-timer.C:
			if hedge := s.newHedge(ctx); hedge != nil {
				running++
				go start(hedge)
			}
		}
	}
	return result{}, last.f
}

// newHedge returns a hedging attempt, or nil if the budget is spent or no upstream is available.
func (s *stageRun) newHedge(ctx context.Context) *attempt {
	policy := s.run.executor.policy
	reserved, ok := policy.ReserveHedge(s.info())
	if !ok {
		return nil
	}
	t, f := s.route(true)
	if f != nil {
		policy.SettleHedge(reserved, 0)
		return nil
	}
	a := s.newAttempt(ctx, t, true)
	a.reserved = reserved
	return a
}
