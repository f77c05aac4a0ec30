package base

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/fake/proc"
	"github.com/ragworthatch/ragworthatch/internal/fake/record"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// poisonDelay is how long a poisoned call runs before it crashes its upstream.
const poisonDelay = 20 * time.Millisecond

// Upstream is the common part of the stand-ins for upstreams; its methods are safe for concurrent use.
type Upstream struct {
	Proc     *proc.Proc
	Faults   *faults.Injector
	Recorder *record.Recorder
	slots    *slots
}

// Work does the work of a call: it emits all events but the last, and returns the last.
type Work func(ctx context.Context, c upstream.Call, emit func(upstream.Event)) (upstream.Event, error)

// New returns an upstream that is up and runs up to concurrency calls at once.
func New(concurrency int) *Upstream {
	return &Upstream{
		Proc:     proc.New(),
		Faults:   &faults.Injector{},
		Recorder: &record.Recorder{},
		slots:    &slots{free: concurrency},
	}
}

// Load returns the load as it was LoadLag ago, by the fault in force.
func (u *Upstream) Load(context.Context) (upstream.Load, error) {
	if _, up := u.Proc.Context(); !up {
		return upstream.Load{}, notSent("load")
	}
	return u.slots.load(u.Faults.Get().LoadLag), nil
}

// Ping fails if the process is down.
func (u *Upstream) Ping(context.Context) error {
	if _, up := u.Proc.Context(); !up {
		return notSent("ping")
	}
	return nil
}

// Utilization returns the share of slots in use, from 0 to 1.
func (u *Upstream) Utilization() float64 { return u.slots.utilization() }

// Sleep waits for d times the slowdown in force, or fails when ctx ends.
func (u *Upstream) Sleep(ctx context.Context, d time.Duration) error {
	if slow := u.Faults.Get().SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve queues and runs a call with the faults in force, and returns the stream of its events.
func (u *Upstream) Serve(ctx context.Context, c upstream.Call, work Work) (upstream.Stream, error) {
	procCtx, up := u.Proc.Context()
	if !up {
		return nil, notSent("call")
	}
	ctx, cancel := context.WithCancel(ctx)
	marker, mixed := echo.Marker(c.Body)
	r := &run{
		owner: u, call: c, work: work, fault: u.Faults.Take(),
		update: u.Recorder.Add(c, marker, mixed),
		out:    &stream{events: make(chan item, eventBuffer), procCtx: procCtx, cancel: cancel, done: ctx.Done()},
	}
	stop := context.AfterFunc(procCtx, cancel)
	go func() {
		defer stop()
		defer close(r.out.events)
		r.execute(ctx)
	}()
	return r.out, nil
}

// run is one call while it runs.
type run struct {
	owner  *Upstream
	call   upstream.Call
	work   Work
	fault  faults.Fault
	update func(func(*record.Entry)) // changes the call's record
	out    *stream
}

// execute waits for a slot, does the work and sends its events.
func (r *run) execute(ctx context.Context) {
	if err := r.owner.slots.acquire(ctx, r.call.Priority); err != nil {
		return
	}
	defer r.owner.slots.release()
	r.update(func(e *record.Entry) { e.Ran = true })
	if p := r.fault.Poison; p != "" && bytes.Contains(r.call.Body, []byte(p)) {
		_ = r.owner.Sleep(ctx, poisonDelay)
		r.owner.Proc.Crash(r.fault.RestartAfter)
		return
	}
	if r.fault.SilentCalls > 0 {
		<-ctx.Done()
		return
	}
	last, err := r.work(ctx, r.call, func(e upstream.Event) { r.emit(ctx, e) })
	if err != nil {
		r.out.push(ctx, item{err: err})
		return
	}
	r.update(func(e *record.Entry) { e.Effect = true })
	r.finish(ctx, last)
}

// finish sends the last event, unless a fault loses it.
func (r *run) finish(ctx context.Context, last upstream.Event) {
	if r.fault.LostAnswers > 0 {
		r.out.push(ctx, item{err: crashed(errors.New("connection reset after the work was done"))})
		return
	}
	if r.fault.CutCalls > 0 {
		return
	}
	last.Last = true
	r.emit(ctx, last)
	r.update(func(e *record.Entry) { e.Finished = true })
}

// emit records and sends an event, with the wrong ID or twice if the fault says so.
func (r *run) emit(ctx context.Context, e upstream.Event) {
	e.ID = r.call.ID
	if r.fault.WrongIDCalls > 0 {
		e.ID = "another/" + e.ID
	}
	if len(e.Data) > 0 {
		r.update(func(entry *record.Entry) { entry.Answer = append(entry.Answer, e.Data...) })
	}
	r.out.push(ctx, item{event: e})
	if r.fault.Duplicate {
		r.out.push(ctx, item{event: e})
	}
}

func notSent(op string) error {
	return &upstream.Error{Op: op, NotSent: true, Cause: errors.New("connection refused")}
}

func crashed(cause error) error {
	return &upstream.Error{Op: "call", Crashed: true, Cause: cause}
}
