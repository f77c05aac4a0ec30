package unit

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

// Unit is the common part of one stand-in for an upstream.
type Unit struct {
	Proc   *proc.Proc
	Faults *faults.Box
	Book   *record.Book
	slots  *slots
}

// Work does the work of a call: it emits all events but the last, and returns the last.
type Work func(ctx context.Context, c upstream.Call, emit func(upstream.Event)) (upstream.Event, error)

// New returns a unit that runs up to concurrency calls at once.
func New(concurrency int) *Unit {
	return &Unit{
		Proc:   proc.New(),
		Faults: &faults.Box{},
		Book:   &record.Book{},
		slots:  &slots{free: concurrency},
	}
}

// Load returns the load as it was LoadLag ago, by the fault in force.
func (u *Unit) Load(context.Context) (upstream.Load, error) {
	if _, up := u.Proc.Life(); !up {
		return upstream.Load{}, notSent("load")
	}
	return u.slots.load(u.Faults.Get().LoadLag), nil
}

// Ping fails if the process is down.
func (u *Unit) Ping(context.Context) error {
	if _, up := u.Proc.Life(); !up {
		return notSent("ping")
	}
	return nil
}

// Busy returns the share of slots in use, from 0 to 1.
func (u *Unit) Busy() float64 { return u.slots.utilization() }

// Sleep waits for d times the slowdown in force, or fails when ctx ends.
func (u *Unit) Sleep(ctx context.Context, d time.Duration) error {
	if slow := u.Faults.Get().Slow; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve queues and runs a call with the unit's faults, and returns the stream of its events.
func (u *Unit) Serve(ctx context.Context, c upstream.Call, work Work) (upstream.Stream, error) {
	procCtx, up := u.Proc.Life()
	if !up {
		return nil, notSent("call")
	}
	ctx, cancel := context.WithCancel(ctx)
	marker, mixed := echo.Marker(c.Body)
	r := &run{
		unit: u, call: c, work: work, fault: u.Faults.Take(),
		update: u.Book.Open(c, marker, mixed),
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
	unit   *Unit
	call   upstream.Call
	work   Work
	fault  faults.Fault
	update func(func(*record.Entry)) // changes the call's record
	out    *stream
}

// execute waits for a slot, does the work and sends its events.
func (r *run) execute(ctx context.Context) {
	if err := r.unit.slots.acquire(ctx, r.call.Priority); err != nil {
		return
	}
	defer r.unit.slots.release()
	r.update(func(e *record.Entry) { e.Ran = true })
	if p := r.fault.Poison; p != "" && bytes.Contains(r.call.Body, []byte(p)) {
		_ = r.unit.Sleep(ctx, poisonDelay)
		r.unit.Proc.Crash(r.fault.RestartAfter)
		return
	}
	if r.fault.Silent > 0 {
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
	if r.fault.LoseAnswer > 0 {
		r.out.push(ctx, item{err: crashed(errors.New("connection reset after the work was done"))})
		return
	}
	if r.fault.Cut > 0 {
		return
	}
	last.Last = true
	r.emit(ctx, last)
	r.update(func(e *record.Entry) { e.Finished = true })
}

// emit records and sends an event, with the wrong ID or twice if the fault says so.
func (r *run) emit(ctx context.Context, e upstream.Event) {
	e.ID = r.call.ID
	if r.fault.WrongID > 0 {
		e.ID = "another/" + e.ID
	}
	if len(e.Data) > 0 {
		r.update(func(call *record.Entry) { call.Answer = append(call.Answer, e.Data...) })
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
