package lead

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

// Outlook is what would be decided on an order that were submitted now, as the first attempt of its caller.
type Outlook struct {
	Refused    sched.Reason // empty if it would be admitted
	RetryAfter time.Duration
	Late       bool // it is not expected to meet its target
	Stages     []sched.StageOutlook
	Engines    []place.Candidate // the first one would be picked, if the stages were done
}

// Explain returns what would be decided on an order. It changes nothing. It fails only with the error of ctx.
func (c *Coordinator) Explain(ctx context.Context, o Order) (Outlook, error) {
	answer := make(chan Outlook, 1)
	select {
	case c.inbox <- func(now time.Time) {
		defer func() { _ = recover() }() // a fault here must not refuse the open orders
		c.refreshConfig()
		answer <- c.explain(o, now)
	}:
	case <-ctx.Done():
		return Outlook{}, ctx.Err()
	}
	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		return Outlook{}, ctx.Err()
	}
}

func (c *Coordinator) explain(o Order, now time.Time) Outlook {
	o.Engine.Within, o.Engine.Left = timeLeft(o, now), o.Job.Target.Sub(now)
	o.Job.TimeToFirstToken = c.placer.TimeToFirstToken(o.Engine, c.hosts, now)
	stages := c.scheduler.Explain(o.Job, now)
	out := Outlook{Refused: stages.Refused, RetryAfter: stages.RetryAfter, Late: stages.Late, Stages: stages.Stages,
		Engines: c.placer.Explain(o.Engine, c.hosts, c.engineSpec(o.Engine.Pool), now)}
	// In the order of admit.
	if wait := c.opts.Crash.BlockedFor(o.Fingerprint, crash.PartsOf(o.Engine.Model, o.Engine.Prefix)); wait > 0 {
		out.Refused, out.RetryAfter = sched.Quarantined, wait
		return out
	}
	if _, paused := c.placer.PauseLeft(o.Engine, c.hosts, now); paused {
		d := c.refuseNoEngine(o.Engine, now)
		out.Refused, out.RetryAfter = d.Refused, d.RetryAfter
		return out
	}
	if wait, exceeds := c.exceedsLimits(o, now); exceeds {
		out.Refused, out.RetryAfter = sched.Limited, max(wait, limitedRetryAfter)
		return out
	}
	if len(out.Engines) > 0 && out.Engines[0].State == place.StateCrowded {
		out.Refused, out.RetryAfter = Crowded, time.Second
		return out
	}
	if out.Refused == "" && len(out.Engines) == 0 {
		d := c.refuseNoEngine(o.Engine, now)
		out.Refused, out.RetryAfter = d.Refused, d.RetryAfter
	}
	return out
}
