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

// step is the state of one stage over its attempts.
type step struct {
	run      *run
	index    int
	spec     stage.Spec
	body     []byte
	held     [][]byte // tokens to resume from
	attempts uint32
	avoid    []string
	// elsewhere counts the refusals by upstreams that are leaving or were replaced.
	elsewhere uint32
}

// stage runs stage i to a whole result.
func (r *run) stage(ctx context.Context, i int) *fault.Error {
	body, f := r.body()
	if f != nil {
		return f
	}
	s := &step{run: r, index: i, spec: r.req.Stages[i], body: body}
	res, f := s.loop(ctx)
	if f != nil {
		return f
	}
	r.keep(s.spec, res.chunks, res.replayed)
	return nil
}

// loop tries until a whole result, a final error, or a policy that says no.
func (s *step) loop(ctx context.Context) (result, *fault.Error) {
	for {
		res, f := s.round(ctx)
		if f == nil {
			return res, nil
		}
		if s.spec.IsAction() && f.Verdict != fault.NotRun {
			return s.settle(ctx, f)
		}
		if q := s.isolate(f); q != nil {
			return result{}, q
		}
		delay, again := s.again(ctx, f)
		if !again {
			return result{}, f
		}
		s.count(f)
		if !pause.For(ctx, delay) {
			return result{}, ended(ctx, f.Verdict)
		}
	}
}

// count notes a retry after f.
func (s *step) count(f *fault.Error) {
	switch f.Code {
	case fault.Draining, fault.WrongTarget:
		s.elsewhere++
		return
	case fault.Overloaded:
		s.run.overload++
	}
	s.run.retries++
}

// isolate makes a request that may have crashed its upstream run alone from now on, and stops it after
// the second crash.
func (s *step) isolate(f *fault.Error) *fault.Error {
	if f.Code != fault.Crashed {
		return nil
	}
	switch s.run.e.watcher.Suspicion(s.run.req.Fingerprint) {
	case Quarantined:
		return fault.New(f.Verdict, fault.Quarantined, "requests with this body crashed upstreams").WithCause(f)
	case Suspect:
		s.run.alone = true
	}
	return nil
}

// again asks the policy whether another attempt may follow f.
func (s *step) again(ctx context.Context, f *fault.Error) (time.Duration, bool) {
	if ctx.Err() != nil || !s.resumable(f) {
		return 0, false
	}
	return s.run.e.policy.Retry(s.work(), FailedAttempt{
		Fault:           f,
		Attempt:         s.attempts,
		Retries:         s.run.retries,
		OverloadRetries: s.run.overload,
		FreeRetries:     s.elsewhere,
	})
}

func (s *step) work() StageInfo { return s.run.work(s.index) }

// resumable says whether another attempt could still make the answer whole.
func (s *step) resumable(f *fault.Error) bool {
	if f.Verdict == fault.NotRun || s.spec.Kind != stage.Generate {
		return true
	}
	if s.run.req.Pools[s.spec.Pool].Resumes {
		return true
	}
	if s.streams() && len(s.held) > 0 {
		return false
	}
	s.held = nil
	return true
}

// streams says whether the caller sees the stage's tokens as they come.
func (s *step) streams() bool {
	last := s.index == len(s.run.req.Stages)-1
	return last && s.run.sink != nil && s.spec.Kind == stage.Generate
}

// route picks the upstream of the next attempt.
func (s *step) route(hedge bool) (target.Target, *fault.Error) {
	req := s.run.req
	q := target.Query{
		Request:  req.ID,
		Stage:    s.spec.Name,
		Pool:     s.spec.Pool,
		Model:    s.spec.Model,
		Class:    req.Class(),
		Prefix:   s.prefix(),
		Avoid:    s.avoid,
		Revision: req.Revision,
		Hedge:    hedge,
		Expected: s.run.e.policy.Estimate(s.work()),
	}
	t, err := s.run.e.router.Route(q)
	if err != nil {
		return target.Target{}, fault.From(err)
	}
	s.avoid = append(s.avoid, t.Name)
	return t, nil
}

// prefix names the beginning of a prompt, which some upstream may have cached.
func (s *step) prefix() string {
	if s.spec.Kind != stage.Generate {
		return ""
	}
	chain := ident.PrefixChain(s.spec.Model, s.body)
	if len(chain) == 0 {
		return ""
	}
	return chain[0]
}

// ended is the error of a request whose context is done.
func ended(ctx context.Context, v fault.Verdict) *fault.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.New(v, fault.Deadline, "the deadline passed")
	}
	return fault.New(v, fault.Canceled, "the caller went away")
}

func remaining(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(at)
}

func (s *step) log(msg string, fields ...zap.Field) {
	fields = append(fields,
		zap.String("request", s.run.req.Label),
		zap.String("id", s.run.req.ID),
		zap.String("stage", s.spec.Name))
	s.run.e.log.Info(msg, fields...)
}
