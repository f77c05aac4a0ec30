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
	commitInterval    = 100 * time.Millisecond // least time between two appends of a side
	pollInterval      = 2 * time.Second        // between reads when no record is pending
	retryInterval     = 250 * time.Millisecond // after a call of the log that failed
	trimInterval      = time.Minute
	callTimeout       = 2 * time.Second // for one call of the log
	maxReadRecords    = 512             // records of one read
	maxAppendRecords  = 128             // records of one append
	maxPendingRecords = 4096            // records that wait for the log
	maxAnswerBytes    = 16 << 10        // bytes of an answer that is recorded
)

// ErrUnavailable is returned while the log can't be reached or has not been read yet.
var ErrUnavailable = errors.New("the action stream in the log can't be reached or has not been read yet")

// Options are the dependencies of a Claimer.
type Options struct {
	Log     logs.Service
	Service string // pool whose action stream it follows
	Owner   string // incarnation of the side
	Now     func() time.Time
	Zap     *zap.Logger
}

// Counts is a snapshot of a Claimer's counters and gauges.
type Counts struct {
	Appends int64 // append calls
	Records int64 // records in them, including those sent again
	Reads   int64 // read calls
	Actions int64 // actions held in memory
	Pending int64 // records not yet read back from the log
	Skipped int64 // records that could not be decoded
}

// Claimer follows one action stream. Its methods that wait need Run to be running, or return when their context ends.
type Claimer struct {
	opts   Options
	stream string
	wake   chan struct{} // ends the wait of Run between two reads
	hub    *watch.Hub    // notifies waiting calls after each sync

	mu           sync.Mutex
	fold         *claim.Fold
	pending      []*pendingRecord
	available    bool
	readsStarted int64 // reads to the end of the stream that were started
	lastRead     int64 // number of the latest of them that succeeded, counted from 1
	trimmedAt    time.Time
	counts       Counts
}

// New returns a Claimer that has not read its stream yet.
func New(o Options) *Claimer {
	return &Claimer{
		opts:   o,
		stream: logs.ActionStream(o.Service),
		wake:   make(chan struct{}, 1),
		hub:    watch.New(),
		fold:   claim.New(),
	}
}

// Forgotten reports whether an action whose key was minted at the given time may have run and no longer be remembered.
func (c *Claimer) Forgotten(minted time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.BeforeHorizon(minted)
}

// Available reports whether the stream was read to its end and the last call of the log succeeded.
func (c *Claimer) Available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.available
}

// WaitAvailable waits until Available is true; its error is that of ctx.
func (c *Claimer) WaitAvailable(ctx context.Context) error {
	return c.waitUntil(ctx, func() bool { return c.available })
}

// Flush waits until no record is pending; its error is that of ctx.
func (c *Claimer) Flush(ctx context.Context) error {
	return c.waitUntil(ctx, func() bool { return len(c.pending) == 0 })
}

// CachedState returns the state of an action as of the last read.
func (c *Claimer) CachedState(k claim.Key) (claim.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Get(k)
}

// InDoubt reads the stream to its end and returns the actions that may have run and have no outcome.
// Its error is ErrUnavailable or that of ctx.
func (c *Claimer) InDoubt(ctx context.Context) ([]claim.Doubt, error) {
	if err := c.refresh(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Doubts(c.opts.Now()), nil
}

// ReadState reads the stream to its end and returns the state of an action.
// Its error is ErrUnavailable or that of ctx.
func (c *Claimer) ReadState(ctx context.Context, k claim.Key) (claim.Entry, bool, error) {
	if err := c.refresh(ctx); err != nil {
		return claim.Entry{}, false, err
	}
	e, ok := c.CachedState(k)
	return e, ok, nil
}

// refresh waits for a read of the stream that starts after this call.
func (c *Claimer) refresh(ctx context.Context) error {
	c.mu.Lock()
	next := c.readsStarted + 1
	c.mu.Unlock()
	c.wakeUp()
	down := false
	err := c.waitUntil(ctx, func() bool {
		down = !c.available
		return c.lastRead >= next || down
	})
	if err == nil && down {
		return ErrUnavailable
	}
	return err
}

// Outcome reads the outcome record of an action that is done; it returns false if the log no longer keeps the record.
func (c *Claimer) Outcome(ctx context.Context, k claim.Key, e claim.Entry) (claim.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := c.opts.Log.Read(ctx, c.stream, e.Offset, 1)
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

// Settle records an operator's decision about the claim that holds an action, and returns the state of the action once
// the record is read back. After an error the decision may still take effect.
func (c *Claimer) Settle(ctx context.Context, k claim.Key, e claim.Entry, v fault.Verdict, author, reason string) (
	claim.Entry, error) {
	r := c.newRecord(claim.Settle, e.Nonce, k)
	r.Verdict = v
	r.Author = author
	r.Reason = reason
	pr, err := c.enqueue(r)
	if err != nil {
		return claim.Entry{}, err
	}
	if err := c.waitUntil(ctx, func() bool { return pr.readBack }); err != nil {
		return claim.Entry{}, err
	}
	got, _ := c.CachedState(k)
	return got, nil
}

// Counts returns the current counts.
func (c *Claimer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.counts
	snapshot.Actions = int64(c.fold.Len())
	snapshot.Skipped = c.fold.Skipped()
	snapshot.Pending = int64(len(c.pending))
	return snapshot
}

// waitUntil waits for a condition, which is called with the lock held.
func (c *Claimer) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		changed := c.hub.Changed()
		c.mu.Lock()
		done := condition()
		c.mu.Unlock()
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

// wakeUp ends the wait of Run.
func (c *Claimer) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// newRecord returns a record about the claim with the given nonce on an action.
func (c *Claimer) newRecord(kind claim.Kind, nonce string, k claim.Key) claim.Record {
	return claim.Record{Kind: kind, Nonce: nonce, Key: k}
}
