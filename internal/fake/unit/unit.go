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

// poisonDelay is how long a poisoned call runs before it kills its upstream.
const poisonDelay = 20 * time.Millisecond

// Unit is one upstream.
type Unit struct {
	Proc   *proc.Proc
	Faults *faults.Box
	Book   *record.Book
	slots  *slots
}

// Work does a call; it emits events and returns the last one.
type Work func(ctx context.Context, c upstream.Call, emit func(upstream.Event)) (upstream.Event, error)

// New returns a unit that runs so many calls at once.
func New(concurrency int) *Unit {
	return &Unit{
		Proc:   proc.New(),
		Faults: &faults.Box{},
		Book:   &record.Book{},
		slots:  &slots{free: concurrency},
	}
}

// Load returns the unit's report, as old as its fault says.
func (u *Unit) Load(context.Context) (upstream.Load, error) {
	if _, up := u.Proc.Life(); !up {
		return upstream.Load{}, notSent("load")
	}
	return u.slots.load(u.Faults.Get().LoadLag), nil
}

// Ping gives a sign of life.
func (u *Unit) Ping(context.Context) error {
	if _, up := u.Proc.Life(); !up {
		return notSent("ping")
	}
	return nil
}

// Busy is the share of slots in use, from 0 to 1.
func (u *Unit) Busy() float64 { return u.slots.share() }

// Sleep waits for d times the slowness in force.
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

// Serve runs a call under the unit's faults.
func (u *Unit) Serve(ctx context.Context, c upstream.Call, work Work) (upstream.Stream, error) {
	life, up := u.Proc.Life()
	if !up {
		return nil, notSent("call")
	}
	ctx, cancel := context.WithCancel(ctx)
	marker, mixed := echo.Marker(c.Body)
	r := &run{
		unit: u, call: c, work: work, fault: u.Faults.Take(),
		note: u.Book.Open(c, marker, mixed),
		out:  &stream{events: make(chan item, eventBuffer), life: life, cancel: cancel, done: ctx.Done()},
	}
	stop := context.AfterFunc(life, cancel)
	go func() {
		defer stop()
		defer close(r.out.events)
		r.do(ctx)
	}()
	return r.out, nil
}

// run is one call on its way through the unit.
type run struct {
	unit  *Unit
	call  upstream.Call
	work  Work
	fault faults.Fault
	note  func(func(*record.Entry))
	out   *stream
}

func (r *run) do(ctx context.Context) {
	if err := r.unit.slots.acquire(ctx, r.call.Priority); err != nil {
		return
	}
	defer r.unit.slots.release()
	r.note(func(e *record.Entry) { e.Ran = true })
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
	r.note(func(e *record.Entry) { e.Effect = true })
	r.finish(ctx, last)
}

func (r *run) finish(ctx context.Context, last upstream.Event) {
	if r.fault.LoseAnswer > 0 {
		r.out.push(ctx, item{err: broken(errors.New("connection reset after the work was done"))})
		return
	}
	if r.fault.Cut > 0 {
		return
	}
	last.Last = true
	r.emit(ctx, last)
	r.note(func(e *record.Entry) { e.Finished = true })
}

func (r *run) emit(ctx context.Context, e upstream.Event) {
	e.ID = r.call.ID
	if r.fault.WrongID > 0 {
		e.ID = "another/" + e.ID
	}
	if len(e.Data) > 0 {
		r.note(func(n *record.Entry) { n.Answer = append(n.Answer, e.Data...) })
	}
	r.out.push(ctx, item{event: e})
	if r.fault.Duplicate {
		r.out.push(ctx, item{event: e})
	}
}

func notSent(op string) error {
	return &upstream.Error{Op: op, NotSent: true, Cause: errors.New("connection refused")}
}

func broken(cause error) error {
	return &upstream.Error{Op: "call", Crashed: true, Cause: cause}
}
