package policy

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/limit/admit"
	"github.com/ragworthatch/ragworthatch/internal/limit/hedge"
	"github.com/ragworthatch/ragworthatch/internal/limit/retry"
	"github.com/ragworthatch/ragworthatch/internal/limit/sketch"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
)

const (
	retryBackoff    = 10 * time.Millisecond
	overloadBackoff = 50 * time.Millisecond
)

// Policy implements exec.Policy; it is safe for concurrent use.
type Policy struct {
	now      func() time.Time
	log      *zap.Logger
	sketches *sketch.Set // distributions of stage latencies
	admit    *admit.Controller
	hedges   *hedge.Budget

	mu           sync.Mutex
	retryRatio   float64
	retryBudgets map[string]*retry.Budget // by pool
}

// New returns a policy without samples. Until SetPreset is called, it hedges nothing and its retry budgets have the
// default ratio.
func New(rng *rand.Rand, now func() time.Time, log *zap.Logger) *Policy {
	return &Policy{
		now:          now,
		log:          log,
		sketches:     sketch.New(0),
		admit:        admit.New(rng, admit.Options{}),
		hedges:       hedge.New(0),
		retryBudgets: map[string]*retry.Budget{},
	}
}

// SetPreset applies the hedge and retry budgets of the preset in force.
func (p *Policy) SetPreset(s preset.Spec) {
	p.hedges.Set(s.HedgeBudget)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryRatio == s.RetryBudget {
		return
	}
	p.retryRatio = s.RetryBudget
	for _, b := range p.retryBudgets {
		b.Set(p.retryRatio)
	}
}

// Admit returns an error with the verdict NotRun if r is not expected to finish before its deadline.
func (p *Policy) Admit(r task.Request, now time.Time) *fault.Error {
	q := admit.Request{
		Team:      r.Team.Name,
		Weight:    r.Weight(),
		SizeClass: r.Class(),
		Remaining: r.Deadline.Sub(now),
	}
	for _, st := range r.Stages {
		estimate := p.Estimate(exec.StageInfo{Pipeline: r.Pipeline.Name, Stage: st.Name, Class: r.Class()})
		q.Stages = append(q.Stages, admit.Stage{Pool: st.Pool, Estimate: estimate})
	}
	if err := p.admit.Admit(q, now); err != nil {
		return fault.From(err)
	}
	return nil
}

// Estimate returns the median time of a stage; 0 when unknown.
func (p *Policy) Estimate(s exec.StageInfo) time.Duration {
	return p.latencyEstimate(s).Median
}

// latencyEstimate returns quantiles of the stage's latency for the size class; zero when unknown.
func (p *Policy) latencyEstimate(s exec.StageInfo) sketch.Estimate {
	est, _ := p.sketches.Estimate(sketchKey(s), p.now())
	return est
}

// sketchKey returns the key of the latency distribution of a stage: its name and the size class.
func sketchKey(s exec.StageInfo) sketch.Key {
	return sketch.Key{Stage: s.Stage, SizeClass: s.Class}
}

// Observe updates estimates, queue waits and budgets from the result of an attempt.
func (p *Policy) Observe(s exec.StageInfo, r exec.AttemptResult) {
	now := p.now()
	if l := r.Load; l != nil {
		p.admit.Observe(s.Pool, pipe.Short, millis(l.GetShortWaitMs()), now)
		p.admit.Observe(s.Pool, pipe.Long, millis(l.GetLongWaitMs()), now)
	}
	if r.Fault != nil {
		if r.Fault.Code == fault.Overloaded {
			p.admit.ObserveRefusal(s.Pool, s.Class, now)
		}
		return
	}
	p.sketches.Add(sketchKey(s), r.Took, now)
	p.retryBudget(s.Pool).Succeeded()
	if !r.Hedge {
		p.hedges.Earn(r.Runner)
	}
}

// Retry reports whether a failed attempt may be retried, and after which backoff.
func (p *Policy) Retry(s exec.StageInfo, failed exec.FailedAttempt) (time.Duration, bool) {
	d := p.retryBudget(s.Pool).Decide(retry.Failure{
		Err:             failed.Fault,
		Repeatable:      s.Repeatable,
		Retries:         failed.Retries,
		OverloadRetries: failed.OverloadRetries,
		FreeRetries:     failed.FreeRetries,
		Remaining:       s.Remaining,
		Estimate:        p.Estimate(s) + s.LaterEstimate,
	})
	p.log.Info("retry", zap.String("pipeline", s.Pipeline), zap.String("stage", s.Stage), zap.String("pool", s.Pool),
		zap.Bool("again", d.Again), zap.String("reason", string(d.Reason)), zap.Uint32("retries", failed.Retries))
	if d.Reason == retry.Overloaded {
		return overloadBackoff, d.Again
	}
	return retryBackoff, d.Again
}

// HedgeAfter reports whether a hedge may start, and after which delay.
func (p *Policy) HedgeAfter(s exec.StageInfo) (time.Duration, bool) {
	est := p.latencyEstimate(s)
	return p.hedges.Delay(hedge.Call{
		Repeatable: s.Repeatable,
		Quantile:   est.P99,
		Samples:    est.Samples,
		Remaining:  s.Remaining,
		Estimate:   est.Median + s.LaterEstimate,
	})
}

// ReserveHedge reserves the expected time of a hedge from the budget; false when the budget is too small.
func (p *Policy) ReserveHedge(s exec.StageInfo) (time.Duration, bool) {
	reserved := p.Estimate(s)
	return reserved, p.hedges.Take(reserved)
}

// SettleHedge replaces the reservation of a hedge by its actual cost.
func (p *Policy) SettleHedge(reserved, cost time.Duration) { p.hedges.Settle(reserved, cost) }

// retryBudget returns the retry budget of a pool, which it creates on first use.
func (p *Policy) retryBudget(pool string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.retryBudgets[pool]
	if b == nil {
		b = retry.New(p.retryRatio)
		p.retryBudgets[pool] = b
	}
	return b
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
