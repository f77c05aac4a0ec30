package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/watch"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

const (
	commitInterval = 100 * time.Millisecond // least time between two appends of a side
	pollInterval   = 2 * time.Second        // between reads when nothing waits
	retryInterval  = 250 * time.Millisecond // between tries of a log that fails
	trimInterval   = time.Minute
	callTimeout    = 2 * time.Second // of one call of the log
	readLimit      = 512             // records
	maxBatch       = 128             // records of one append
	maxPending     = 4096            // records that wait for the log
	maxAnswer      = 16 << 10        // bytes of an answer that is recorded
)

// ErrDown says that the log can't be reached or was not read yet.
var ErrDown = errors.New("action stream is not available")

// Options are the dependencies of a window.
type Options struct {
	Log     logs.Service
	Service string // pool whose actions it follows
	Owner   string // incarnation of the side
	Now     func() time.Time
	Zap     *zap.Logger
}

// Counts is a snapshot of what the window counted.
type Counts struct {
	Appends int64 // calls
	Records int64 // appended, copies included
	Reads   int64 // calls
	Actions int64 // remembered
	Pending int64 // records that wait for the log
	Skipped int64 // records that could not be read
}

// Claimer follows one action stream; Run must be running for its other methods to return.
type Claimer struct {
	opts   Options
	stream string
	wake   chan struct{}
	hub    *watch.Hub

	mu      sync.Mutex
	fold    *claim.Fold
	pending []*item
	up      bool
	started int64 // full reads
	read    int64 // the latest full read that ended well
	trimmed time.Time
	counts  Counts
}

// New returns a window that has not read anything yet.
func New(o Options) *Claimer {
	return &Claimer{
		opts:   o,
		stream: logs.ActionStream(o.Service),
		wake:   make(chan struct{}, 1),
		hub:    watch.New(),
		fold:   claim.New(),
	}
}

// Forgotten says whether an action with a key minted at a time may have run unknown to this window.
func (w *Claimer) Forgotten(minted time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.BeforeHorizon(minted)
}

// Up says whether the stream was read whole and the log's last call went well.
func (w *Claimer) Up() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// WaitUp returns when Up is true, or the error of ctx.
func (w *Claimer) WaitUp(ctx context.Context) error {
	return w.until(ctx, func() bool { return w.up })
}

// Flush returns when no record waits for the log, or the error of ctx.
func (w *Claimer) Flush(ctx context.Context) error {
	return w.until(ctx, func() bool { return len(w.pending) == 0 })
}

// Peek returns what the last read said about an action.
func (w *Claimer) Peek(k claim.Key) (claim.Entry, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.Get(k)
}

// Doubts reads the stream to its end and returns the actions that nobody can tell of.
// Its error is ErrDown or that of ctx.
func (w *Claimer) Doubts(ctx context.Context) ([]claim.Doubt, error) {
	if err := w.refresh(ctx); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.Doubts(w.opts.Now()), nil
}

// Look reads the stream to its end and returns what it says about an action.
// Its error is ErrDown or that of ctx.
func (w *Claimer) Look(ctx context.Context, k claim.Key) (claim.Entry, bool, error) {
	if err := w.refresh(ctx); err != nil {
		return claim.Entry{}, false, err
	}
	e, ok := w.Peek(k)
	return e, ok, nil
}

// refresh waits for a read of the stream that starts from now on.
func (w *Claimer) refresh(ctx context.Context) error {
	w.mu.Lock()
	want := w.started + 1
	w.mu.Unlock()
	w.nudge()
	down := false
	err := w.until(ctx, func() bool {
		down = !w.up
		return w.read >= want || down
	})
	if err == nil && down {
		return ErrDown
	}
	return err
}

// Outcome reads the outcome record of an action that is done; false when the log has dropped it.
func (w *Claimer) Outcome(ctx context.Context, k claim.Key, e claim.Entry) (claim.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := w.opts.Log.Read(ctx, w.stream, e.Offset, 1)
	if err != nil {
		return claim.Record{}, false, err
	}
	if b.First != e.Offset || len(b.Records) == 0 {
		return claim.Record{}, false, nil
	}
	r, err := claim.Decode(b.Records[0])
	if err != nil {
		return r, false, err
	}
	return r, r.Kind == claim.Outcome && r.Key == k, nil
}

// Settle records an operator's decision about the claim that holds an action, and returns what the stream says then.
func (w *Claimer) Settle(ctx context.Context, k claim.Key, e claim.Entry, v fault.Verdict, author, reason string) (claim.Entry, error) {
	r := w.record(claim.Settle, e.Nonce, k)
	r.Verdict = v
	r.Author = author
	r.Reason = reason
	it, err := w.enqueue(r)
	if err != nil {
		return claim.Entry{}, err
	}
	if err := w.until(ctx, func() bool { return it.seen }); err != nil {
		return claim.Entry{}, err
	}
	got, _ := w.Peek(k)
	return got, nil
}

// Counts returns the counters now.
func (w *Claimer) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts
	c.Actions = int64(w.fold.Len())
	c.Skipped = w.fold.Skipped()
	c.Pending = int64(len(w.pending))
	return c
}

// until waits for a condition, which is called under the lock.
func (w *Claimer) until(ctx context.Context, ok func() bool) error {
	for {
		changed := w.hub.Changed()
		w.mu.Lock()
		done := ok()
		w.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (w *Claimer) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Claimer) record(kind claim.Kind, nonce string, k claim.Key) claim.Record {
	return claim.Record{Kind: kind, Nonce: nonce, Key: k}
}
