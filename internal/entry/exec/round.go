package exec

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
)

// round makes one attempt, and a hedge beside it where the policy allows one.
func (s *step) round(ctx context.Context) (result, *fault.Error) {
	if ctx.Err() != nil {
		return result{}, ended(ctx, fault.NotRun)
	}
	t, f := s.route(false)
	if f != nil {
		return result{}, f
	}
	first := s.newAttempt(ctx, t, false)
	delay, hedge := s.hedgeAfter()
	if !hedge {
		return s.single(ctx, first)
	}
	return s.race(ctx, first, delay)
}

func (s *step) single(ctx context.Context, a *attempt) (result, *fault.Error) {
	res, f := a.run(ctx)
	if f != nil && s.spec.Kind == stage.Generate && f.Verdict != fault.NotRun {
		s.held = a.answer.Chunks()
	}
	return res, f
}

// hedgeAfter allows hedges for the first attempt of repeatable stages that do not generate.
func (s *step) hedgeAfter() (time.Duration, bool) {
	if s.spec.IsAction() || s.spec.Kind == stage.Generate || s.attempts > 1 || s.run.alone {
		return 0, false
	}
	return s.run.e.policy.HedgeAfter(s.work())
}

// finished is the end of one of two racing attempts.
type finished struct {
	res result
	f   *fault.Error
}

// race starts a second attempt after delay; the first whole answer wins and the other is canceled.
func (s *step) race(ctx context.Context, first *attempt, delay time.Duration) (result, *fault.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan finished, 2)
	start := func(a *attempt) {
		res, f := a.run(ctx)
		ends <- finished{res: res, f: f}
	}
	go start(first)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last finished
	for running > 0 {
		select {
		case last = <-ends:
			running--
			if last.f == nil {
				return last.res, nil
			}
		case <-timer.C:
			if second := s.second(ctx); second != nil {
				running++
				go start(second)
			}
		}
	}
	return result{}, last.f
}

// second builds the hedging attempt, nil if the budget or the upstreams do not allow it.
func (s *step) second(ctx context.Context) *attempt {
	policy := s.run.e.policy
	reserved, ok := policy.ReserveHedge(s.work())
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
