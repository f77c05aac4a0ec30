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

const defaultTokens = 4 // of a generation

// Run is the worker's record of one call that ran.
type Run struct {
	Call    upstream.Call
	Started time.Time
	Closed  time.Time // zero while the stream is open
}

// Worker is an in-memory upstream; its methods are safe for concurrent use.
type Worker struct {
	mu    sync.Mutex
	plan  func(upstream.Call) Plan
	runs  []*Run
	down  bool          // refuses connections
	crash chan struct{} // closed when the whole upstream crashes, then replaced
}

// New returns a worker; plan describes how each call runs, and a nil plan answers all at once.
func New(plan func(upstream.Call) Plan) *Worker {
	if plan == nil {
		plan = func(upstream.Call) Plan { return Plan{} }
	}
	return &Worker{plan: plan, crash: make(chan struct{})}
}

// Answer returns the chunks of the answer to a call; a generation has one for each token, 4 if tokens is 0.
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

// Call runs a call, unless its plan or a crash keeps it from running.
func (w *Worker) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.plan(c)
	switch {
	case w.down || p.Fault == RefuseConnection:
		return nil, &upstream.Error{Op: "call", NotSent: true, Cause: errors.New("connection refused")}
	case ctx.Err() != nil:
		return nil, &upstream.Error{Op: "call", NotSent: true, Cause: ctx.Err()}
	case p.Fault == Refuse:
		return nil, &upstream.Error{Op: "call", Refused: true, Cause: errors.New("busy")}
	case p.Fault == Reject:
		return nil, &upstream.Error{Op: "call", Rejected: true, Cause: errors.New("malformed")}
	}
	r := &Run{Call: c, Started: time.Now()}
	w.runs = append(w.runs, r)
	return &answer{worker: w, run: r, plan: p, events: events(c, p), crash: w.crash}, nil
}

// Load returns the number of running calls.
func (w *Worker) Load(context.Context) (upstream.Load, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return upstream.Load{Running: w.countOpen(), At: time.Now()}, nil
}

// Ping fails while the worker is down.
func (w *Worker) Ping(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return errors.New("connection refused")
	}
	return nil
}

// Runs returns the records of all calls that ran, in order.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// Open returns the number of streams that are not closed.
func (w *Worker) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.countOpen()
}

// Crash breaks all calls in flight; the worker refuses connections until Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.goDown()
}

// Restart makes the worker accept connections again.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
}

// goDown breaks the calls in flight and refuses connections; the caller holds the lock.
func (w *Worker) goDown() {
	w.down = true
	close(w.crash)
	w.crash = make(chan struct{})
}

// countOpen counts the streams that are not closed.
func (w *Worker) countOpen() int {
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
	crash  chan struct{}
	sent   int
}

// Next returns the next event, or the error of the planned fault.
func (a *answer) Next(ctx context.Context) (upstream.Event, error) {
	delay := a.plan.Step
	if a.sent == 0 {
		delay = a.plan.Delay
	}
	if err := a.wait(ctx, delay); err != nil {
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

// Close ends the run.
func (a *answer) Close() error {
	a.worker.mu.Lock()
	defer a.worker.mu.Unlock()
	if a.run.Closed.IsZero() {
		a.run.Closed = time.Now()
	}
	return nil
}

// wait waits for d, or fails when the upstream crashes or ctx ends.
func (a *answer) wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-a.crash:
		return crashed()
	case <-ctx.Done():
		return &upstream.Error{Op: "next", Cause: ctx.Err()}
	}
}

// fault returns the error of the planned fault, if it has one.
func (a *answer) fault(ctx context.Context) error {
	switch a.plan.Fault {
	case Fail:
		return &upstream.Error{Op: "next", Cause: errors.New("internal error")}
	case Crash:
		return crashed()
	case CrashWorker:
		a.worker.Crash()
		return crashed()
	case Truncate:
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

// events returns the events that the worker sends for a call, with the planned disorder.
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
	case Duplicate:
		out = duplicate(out)
	case Reorder:
		slices.Reverse(out)
	}
	return append(out, last)
}

// duplicate returns the events with each one repeated.
func duplicate(in []upstream.Event) []upstream.Event {
	var out []upstream.Event
	for _, e := range in {
		out = append(out, e, e)
	}
	return out
}
