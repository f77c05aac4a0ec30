package exec

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
)

// stageRun is the state of one stage over all its attempts.
type stageRun struct {
	run          *requestRun
	index        int
	spec         stage.Spec
	body         []byte
	resumeTokens [][]byte // tokens of earlier attempts to resume from
	begunAt      string   // version of the weights that made them; empty if unknown
	attempts     uint32
	avoid        []string // upstreams tried before
	// freeRetries counts the retries after a refusal by an upstream that is draining or was replaced.
	freeRetries uint32
}

// runStage runs stage i and stores its result.
func (r *requestRun) runStage(ctx context.Context, i int) *fault.Error {
	body, f := r.encodeInput()
	if f != nil {
		return f
	}
	s := &stageRun{run: r, index: i, spec: r.req.Stages[i], body: body}
	res, f := s.runAttempts(ctx)
	if f != nil {
		return f
	}
	r.storeResult(s.spec, res.chunks, res.replayed)
	return nil
}

// runAttempts makes attempts until one succeeds, an error is final or the policy refuses a retry. An action that may
// have run is not sent again; its recorded outcome is queried instead.
func (s *stageRun) runAttempts(ctx context.Context) (result, *fault.Error) {
	for {
		res, f := s.attemptOrHedge(ctx)
		if f == nil {
			return res, nil
		}
		if s.spec.IsAction() && f.Verdict != fault.NotRun {
			return s.recoverOutcome(ctx, f)
		}
		if q := s.isolate(f); q != nil {
			return result{}, q
		}
		delay, allowed := s.nextRetry(ctx, f)
		if !allowed {
			return result{}, f
		}
		s.countRetry(f)
		if !pause.For(ctx, delay) {
			return result{}, contextError(ctx, f.Verdict)
		}
	}
}

// countRetry counts a retry after f. Refusals by upstreams that are draining or were replaced are free: they do not
// count as retries of the request.
func (s *stageRun) countRetry(f *fault.Error) {
	switch f.Code {
	case fault.Draining, fault.WrongTarget:
		s.freeRetries++
		return
	case fault.Overloaded:
		s.run.overloadRetries++
	}
	s.run.retries++
}

// isolate makes a request that may have crashed its upstream run alone from now on, and returns an error once its
// fingerprint is quarantined, which the second crash does.
func (s *stageRun) isolate(f *fault.Error) *fault.Error {
	if f.Code != fault.Crashed {
		return nil
	}
	switch s.run.executor.observer.Suspicion(s.run.req.Fingerprint) {
	case Quarantined:
		return fault.New(f.Verdict, fault.Quarantined, "requests with this body crashed upstreams").WithCause(f)
	case Suspect:
		s.run.alone = true
	}
	return nil
}

// nextRetry returns the backoff before the attempt that follows f; false if there can't be one: the context is done,
// the answer can't be completed any more or the policy refuses.
func (s *stageRun) nextRetry(ctx context.Context, f *fault.Error) (time.Duration, bool) {
	if ctx.Err() != nil || !s.canComplete(f) {
		return 0, false
	}
	return s.run.executor.policy.Retry(s.info(), FailedAttempt{
		Fault:           f,
		Attempt:         s.attempts,
		Retries:         s.run.retries,
		OverloadRetries: s.run.overloadRetries,
		FreeRetries:     s.freeRetries,
	})
}

// info describes the stage to the policy.
func (s *stageRun) info() StageInfo { return s.run.stageInfo(s.index) }

// canComplete reports whether another attempt can still complete the answer. Once the caller has seen tokens, only an
// upstream that can resume from them can; if it has seen none, the generation starts over.
func (s *stageRun) canComplete(f *fault.Error) bool {
	if f.Verdict == fault.NotRun || s.spec.Kind != stage.Generate {
		return true
	}
	if s.run.req.Pools[s.spec.Pool].Resumes {
		return true
	}
	if s.streamsToCaller() && len(s.resumeTokens) > 0 {
		return false
	}
	s.resumeTokens = nil
	return true
}

// streamsToCaller reports whether the stage's tokens are streamed to the caller.
func (s *stageRun) streamsToCaller() bool {
	last := s.index == len(s.run.req.Stages)-1
	return last && s.run.sink != nil && s.spec.Kind == stage.Generate
}

// route picks the upstream of the next attempt.
func (s *stageRun) route(hedge bool) (target.Target, *fault.Error) {
	req := s.run.req
	q := target.Query{
		Request:  req.ID,
		Stage:    s.spec.Name,
		Pool:     s.spec.Pool,
		Model:    s.spec.Model,
		Class:    req.Class(),
		Prefix:   s.promptPrefix(),
		Avoid:    s.avoid,
		Revision: req.Revision,
		Hedge:    hedge,
		Expected: s.run.executor.policy.Estimate(s.info()),
	}
	if len(s.resumeTokens) > 0 {
		q.Version = s.begunAt
	}
	t, err := s.run.executor.router.Route(q)
	if err != nil && q.Version != "" && !s.streamsToCaller() {
		// Nobody has seen the tokens, so the generation can start over at another version.
		s.resumeTokens, q.Version = nil, ""
		t, err = s.run.executor.router.Route(q)
	}
	if err != nil {
		return target.Target{}, fault.From(err)
	}
	if len(s.resumeTokens) == 0 {
		s.begunAt = t.Version
	}
	s.avoid = append(s.avoid, t.Name)
	return t, nil
}

// promptPrefix returns the digest of the first block of a prompt, which an upstream may have cached; empty if the stage
// does not generate or the prompt is too short.
func (s *stageRun) promptPrefix() string {
	if s.spec.Kind != stage.Generate {
		return ""
	}
	chain := ident.PrefixChain(s.spec.Model, s.body)
	if len(chain) == 0 {
		return ""
	}
	return chain[0]
}

// contextError returns the error of a request whose context is done.
func contextError(ctx context.Context, v fault.Verdict) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(v, fault.Deadline, "the deadline passed")
	}
	return fault.New(v, fault.Canceled, "the caller went away")
}

// untilDeadline is the time until the deadline of ctx; 0 without one.
func untilDeadline(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// log writes a log line with the request and the stage.
func (s *stageRun) log(msg string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", s.run.req.Label),
		zap.String("id", s.run.req.ID),
		zap.String("stage", s.spec.Name))
	s.run.executor.log.Info(msg, fields...)
}
