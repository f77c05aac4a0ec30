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
	retryPause    = 10 * time.Millisecond
	overloadPause = 50 * time.Millisecond
)

// Policy implements exec.Policy; it is safe for concurrent use.
type Policy struct {
	now      func() time.Time
	log      *zap.Logger
	sketches *sketch.Set
	admit    *admit.Controller
	hedges   *hedge.Budget

	mu      sync.Mutex
	ratio   float64
	budgets map[string]*retry.Budget // by pool
}

// New returns a policy that has seen nothing and hedges nothing.
func New(rng *rand.Rand, now func() time.Time, log *zap.Logger) *Policy {
	return &Policy{
		now:      now,
		log:      log,
		sketches: sketch.New(0),
		admit:    admit.New(rng, admit.Options{}),
		hedges:   hedge.New(0),
		budgets:  map[string]*retry.Budget{},
	}
}

// SetPreset sets the budgets of the preset in force.
func (p *Policy) SetPreset(s preset.Spec) {
	p.hedges.Set(s.HedgeBudget)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ratio == s.RetryBudget {
		return
	}
	p.ratio = s.RetryBudget
	for _, b := range p.budgets {
		b.Set(p.ratio)
	}
}

// Admit returns why a request could not finish in its deadline; its verdict is NotRun.
func (p *Policy) Admit(r task.Request, now time.Time) *fault.Error {
	q := admit.Request{
		Team:      r.Team.Name,
		Weight:    r.Weight(),
		SizeClass: r.Class(),
		Remaining: r.Deadline.Sub(now),
	}
	for _, st := range r.Stages {
		need := p.Estimate(exec.StageInfo{Pipeline: r.Pipeline.Name, Stage: st.Name, Class: r.Class()})
		q.Stages = append(q.Stages, admit.Stage{Pool: st.Pool, Estimate: need})
	}
	if err := p.admit.Admit(q, now); err != nil {
		return fault.From(err)
	}
	return nil
}

// Estimate is the usual time of a stage; 0 when unknown.
func (p *Policy) Estimate(w exec.StageInfo) time.Duration {
	return p.look(w).Median
}

func (p *Policy) look(w exec.StageInfo) sketch.Estimate {
	est, _ := p.sketches.Estimate(keyOf(w), p.now())
	return est
}

func keyOf(w exec.StageInfo) sketch.Key {
	return sketch.Key{Stage: w.Stage, SizeClass: w.Class}
}

// Observe takes the end of an attempt.
func (p *Policy) Observe(w exec.StageInfo, e exec.AttemptResult) {
	now := p.now()
	if l := e.Load; l != nil {
		p.admit.Observe(w.Pool, pipe.Short, millis(l.GetShortWaitMs()), now)
		p.admit.Observe(w.Pool, pipe.Long, millis(l.GetLongWaitMs()), now)
	}
	if e.Fault != nil {
		if e.Fault.Code == fault.Overloaded {
			p.admit.ObserveRefusal(w.Pool, w.Class, now)
		}
		return
	}
	p.sketches.Add(keyOf(w), e.Took, now)
	p.budget(w.Pool).Succeeded()
	if !e.Hedge {
		p.hedges.Earn(e.Runner)
	}
}

// Retry says whether another attempt may follow, and after which pause.
func (p *Policy) Retry(w exec.StageInfo, t exec.FailedAttempt) (time.Duration, bool) {
	d := p.budget(w.Pool).Decide(retry.Failure{
		Err:             t.Fault,
		Repeatable:      w.Repeatable,
		Retries:         t.Retries,
		OverloadRetries: t.OverloadRetries,
		FreeRetries:     t.FreeRetries,
		Remaining:       w.Remaining,
		Estimate:        p.Estimate(w) + w.LaterEstimate,
	})
	p.log.Info("retry", zap.String("pipeline", w.Pipeline), zap.String("stage", w.Stage), zap.String("pool", w.Pool),
		zap.Bool("again", d.Again), zap.String("reason", string(d.Reason)), zap.Uint32("retries", t.Retries))
	if d.Reason == retry.Overloaded {
		return overloadPause, d.Again
	}
	return retryPause, d.Again
}

// HedgeAfter says whether a second attempt may start, and after which delay.
func (p *Policy) HedgeAfter(w exec.StageInfo) (time.Duration, bool) {
	est := p.look(w)
	return p.hedges.Delay(hedge.Call{
		Repeatable: w.Repeatable,
		Quantile:   est.P99,
		Samples:    est.Samples,
		Remaining:  w.Remaining,
		Estimate:   est.Median + w.LaterEstimate,
	})
}

// ReserveHedge takes what a hedge may cost from the budget.
func (p *Policy) ReserveHedge(w exec.StageInfo) (time.Duration, bool) {
	reserved := p.Estimate(w)
	return reserved, p.hedges.Take(reserved)
}

// SettleHedge replaces what a hedge reserved by what it cost.
func (p *Policy) SettleHedge(reserved, cost time.Duration) { p.hedges.Settle(reserved, cost) }

func (p *Policy) budget(pool string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[pool]
	if b == nil {
		b = retry.New(p.ratio)
		p.budgets[pool] = b
	}
	return b
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
