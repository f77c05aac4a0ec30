package worker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
)

const defaultTokens = 4

// Run is one entry of the worker's own record.
type Run struct {
	Call   upstream.Call
	Began  time.Time
	Closed time.Time // zero while the stream is open
}

// Worker is an upstream in memory.
type Worker struct {
	mu   sync.Mutex
	plan func(upstream.Call) Plan
	runs []*Run
	dead bool
	down chan struct{} // closed at a crash of the whole upstream
}

// New returns a worker whose calls meet the fates that plan chooses; nil answers everything at once.
func New(plan func(upstream.Call) Plan) *Worker {
	if plan == nil {
		plan = func(upstream.Call) Plan { return Plan{} }
	}
	return &Worker{plan: plan, down: make(chan struct{})}
}

// Answer returns the chunks that a call's answer consists of.
func Answer(c upstream.Call, tokens int) [][]byte {
	if c.Kind != "generate" {
		return [][]byte{fmt.Appendf(nil, `{"kind":%q,"of":%q}`, c.Kind, ident.BodyDigest(c.Body)[:16])}
	}
	if tokens == 0 {
		tokens = defaultTokens
	}
	out := make([][]byte, tokens)
	for i := range out {
		out[i] = fmt.Appendf(nil, "%s-%d ", ident.BodyDigest(c.Body)[:8], i)
	}
	return out
}

// Call runs a call.
func (w *Worker) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.plan(c)
	switch {
	case w.dead || p.Fault == Unsent:
		return nil, &upstream.Error{Op: "call", NotSent: true, Cause: errors.New("connection refused")}
	case ctx.Err() != nil:
		return nil, &upstream.Error{Op: "call", NotSent: true, Cause: ctx.Err()}
	case p.Fault == Refuse:
		return nil, &upstream.Error{Op: "call", Refused: true, Cause: errors.New("busy")}
	case p.Fault == Reject:
		return nil, &upstream.Error{Op: "call", Rejected: true, Cause: errors.New("malformed")}
	}
	r := &Run{Call: c, Began: time.Now()}
	w.runs = append(w.runs, r)
	return &answer{worker: w, run: r, plan: p, events: events(c, p), down: w.down}, nil
}

// Load reports the calls that run.
func (w *Worker) Load(context.Context) (upstream.Load, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return upstream.Load{Running: w.open(), At: time.Now()}, nil
}

// Ping answers unless the worker is dead.
func (w *Worker) Ping(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return errors.New("connection refused")
	}
	return nil
}

// Runs returns the record of what ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// Open returns how many answers are still open.
func (w *Worker) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open()
}

// Crash breaks all calls in flight and refuses connections until Revive.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

// Revive accepts connections again.
func (w *Worker) Revive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = false
}

func (w *Worker) crash() {
	w.dead = true
	close(w.down)
	w.down = make(chan struct{})
}

func (w *Worker) open() int {
	n := 0
	for _, r := range w.runs {
		if r.Closed.IsZero() {
			n++
		}
	}
	return n
}

// answer is the stream of one run.
type answer struct {
	worker *Worker
	run    *Run
	plan   Plan
	events []upstream.Event
	down   chan struct{}
	sent   int
}

// Next waits for the next event or for what the plan makes of it.
func (a *answer) Next(ctx context.Context) (upstream.Event, error) {
	wait := a.plan.Step
	if a.sent == 0 {
		wait = a.plan.Delay
	}
	if err := a.pause(ctx, wait); err != nil {
		return upstream.Event{}, err
	}
	if a.sent >= a.plan.After {
		if err := a.fault(ctx); err != nil {
			return upstream.Event{}, err
		}
	}
	if a.sent >= len(a.events) {
		return upstream.Event{}, io.EOF
	}
	a.sent++
	return a.events[a.sent-1], nil
}

// Close stops the run.
func (a *answer) Close() error {
	a.worker.mu.Lock()
	defer a.worker.mu.Unlock()
	if a.run.Closed.IsZero() {
		a.run.Closed = time.Now()
	}
	return nil
}

func (a *answer) pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-a.down:
		return crashed()
	case <-ctx.Done():
		return &upstream.Error{Op: "next", Cause: ctx.Err()}
	}
}

func (a *answer) fault(ctx context.Context) error {
	switch a.plan.Fault {
	case Fail:
		return &upstream.Error{Op: "next", Cause: errors.New("internal error")}
	case Crash:
		return crashed()
	case Die:
		a.worker.Crash()
		return crashed()
	case Short:
		return io.EOF
	case Silent:
		<-ctx.Done()
		return &upstream.Error{Op: "next", Cause: ctx.Err()}
	}
	return nil
}

func crashed() error {
	return &upstream.Error{Op: "next", Crashed: true, Cause: errors.New("connection reset")}
}

// events lists what the upstream sends for a call.
func events(c upstream.Call, p Plan) []upstream.Event {
	chunks := Answer(c, p.Tokens)
	var out []upstream.Event
	for i, data := range chunks {
		if i < len(c.Held) {
			continue
		}
		out = append(out, upstream.Event{ID: c.ID, Index: uint64(i), Data: data})
	}
	last := upstream.Event{ID: c.ID, Index: uint64(len(chunks)), Last: true, Count: uint64(len(chunks))}
	switch p.Fault {
	case Stray:
		out = append([]upstream.Event{{ID: c.ID + "-stray", Data: []byte("stray")}}, out...)
	case Twice:
		out = twice(out)
	case Reorder:
		slices.Reverse(out)
	}
	return append(out, last)
}

func twice(in []upstream.Event) []upstream.Event {
	var out []upstream.Event
	for _, e := range in {
		out = append(out, e, e)
	}
	return out
}
