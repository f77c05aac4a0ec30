package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// Call describes a call that asks to run.
type Call = sched.Call

// Result describes how an admitted call ended.
type Result = sched.Result

// Load is the load of a gate.
type Load = sched.Load

// Options configure a gate; a zero field takes its default.
type Options struct {
	Floor   int // lowest concurrency limit, in calls
	Ceiling int // highest concurrency limit, in calls
	Initial int // initial concurrency limit, in calls
	// Target is the mean latency that the limit adapts to; 0 keeps the limit at Ceiling.
	Target time.Duration
	// MaxWait is the longest accepted expected wait of a short call; a long call may wait twice as long.
	MaxWait time.Duration
	// AgeAfter bounds the time from the arrival to the due time that orders the queue, so that no call starves.
	AgeAfter time.Duration
	// Hold is the run time assumed for a call before any is measured.
	Hold time.Duration
}

func (o Options) schedOptions() sched.Options {
	return sched.Options{
		Limit:    adapt.Options{Floor: o.Floor, Ceiling: o.Ceiling, Initial: o.Initial, Target: o.Target},
		MaxWait:  o.MaxWait,
		AgeAfter: o.AgeAfter,
		Hold:     o.Hold,
	}
}

// Gate admits calls to one upstream; it is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	sched *sched.Scheduler[chan error]
	timer *time.Timer
}

// New returns a gate without calls.
func New(o Options) *Gate {
	return &Gate{sched: sched.New[chan error](o.schedOptions())}
}

// Set replaces the bounds and the target of the concurrency limit.
func (g *Gate) Set(o Options) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.SetLimit(o.schedOptions().Limit)
	g.dispatch()
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.Load()
}

// Acquire blocks until the call may start; its error is a NotRun *fault.Error.
func (g *Gate) Acquire(ctx context.Context, c Call) (Permit, error) {
	ready := make(chan error, 1)
	g.mu.Lock()
	job, err := g.sched.Offer(c, ready, time.Now())
	if err != nil {
		g.mu.Unlock()
		return Permit{}, err
	}
	g.dispatch()
	g.mu.Unlock()
	select {
	case err := <-ready:
		if err != nil {
			return Permit{}, err
		}
		return Permit{gate: g, job: job}, nil
	case <-ctx.Done():
		g.withdraw(job)
		return Permit{}, cancelError(ctx.Err())
	}
}

// Permit is the right to run one call; Done or Abandon must be called on it.
type Permit struct {
	gate *Gate
	job  *sched.Job[chan error]
}

// Waited returns the time that the call spent in the queue.
func (p Permit) Waited() time.Duration { return p.job.Waited }

// Done ends the call; further calls of Done do nothing.
func (p Permit) Done(r Result) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.sched.Finish(p.job, time.Now(), r)
	p.gate.dispatch()
}

// Abandon ends a call that was not sent, without a result.
func (p Permit) Abandon() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.sched.Abandon(p.job)
	p.gate.dispatch()
}

// withdraw takes back a call whose caller has left, even when it was admitted in the meantime.
func (g *Gate) withdraw(job *sched.Job[chan error]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sched.Remove(job) {
		g.sched.Abandon(job)
	}
	g.dispatch()
}

// dispatch wakes each waiting caller whose call may start or is refused, and sets the timer for the next expiry.
func (g *Gate) dispatch() {
	for {
		job, err := g.sched.Next(time.Now())
		if job == nil {
			break
		}
		job.Value <- err
	}
	at, ok := g.sched.Wakeup()
	if !ok {
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(time.Until(at), g.onTimer)
		return
	}
	g.timer.Reset(time.Until(at))
}

func (g *Gate) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch()
}

// cancelError returns the fault for a context that ended while the call was queued.
func cancelError(err error) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.NotRun, fault.TooLate, "deadline passed in the queue").WithCause(err)
	}
	return fault.New(fault.NotRun, fault.Canceled, "caller left the queue").WithCause(err)
}
