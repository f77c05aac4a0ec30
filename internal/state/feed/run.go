package feed

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/snap"
)

// Run reads the log and writes snapshots until ctx is done.
func (f *Feed) Run(ctx context.Context) error {
	r := runLoop{feed: f}
	for {
		wait := r.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		case <-f.wake:
		}
	}
}

// runLoop is the state of Run's goroutine.
type runLoop struct {
	feed       *Feed
	backoff    time.Duration // after the last read; zero if it succeeded
	logDown    bool          // the last read failed
	retryAt    time.Time     // end of the backoff
	maxReadAge time.Duration // age of the newest known read at which a passive process reads, with jitter
	snapshotAt time.Time     // when the snapshot that is due will be written; zero if none is due
}

// step reads the log and writes a snapshot if these are due, and returns the time to wait before the next step.
func (r *runLoop) step(ctx context.Context) time.Duration {
	f := r.feed
	if wait := r.timeUntilRead(); wait > 0 {
		return wait
	}
	err := f.Poll(ctx)
	if err != nil {
		return r.readFailed(ctx, err)
	}
	if r.logDown {
		f.lg.Info("log is back", zap.Int64("offset", f.Current().Offset()))
	}
	r.logDown = false
	r.backoff = 0
	r.maxReadAge = f.withJitter(f.opt.SilentAfter)
	if f.Reader() {
		r.maintainSnapshot(ctx)
	}
	return f.opt.Interval
}

// timeUntilRead returns the time to wait before the next read: the rest of the backoff after a failed read, else 0 for
// an active or starting reader, else the time until the newest known read is too old.
func (r *runLoop) timeUntilRead() time.Duration {
	f := r.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if wait := time.Until(r.retryAt); wait > 0 {
		return wait
	}
	if f.reader || f.notReady != nil {
		return 0
	}
	return r.maxReadAge - time.Since(f.newestRead)
}

// readFailed logs the first failed read of an outage and returns the time to wait before the next read.
func (r *runLoop) readFailed(ctx context.Context, err error) time.Duration {
	f := r.feed
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return f.opt.Interval
	}
	if !r.logDown {
		f.lg.Warn("log cannot be read", zap.Error(err), zap.Int64("offset", f.Current().Offset()))
	}
	r.logDown = true
	r.backoff = min(max(2*r.backoff, f.opt.Interval), f.opt.MaxBackoff)
	wait := f.withJitter(r.backoff / 2)
	r.retryAt = time.Now().Add(wait)
	return wait
}

// withJitter returns a random duration between d and 2*d.
func (f *Feed) withJitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d + time.Duration(f.opt.Rand.Float64()*float64(d))
}

// maintainSnapshot writes a snapshot if one is due, after a random delay in which another reader may write it first.
func (r *runLoop) maintainSnapshot(ctx context.Context) {
	f := r.feed
	s := f.Current()
	now := time.Now()
	if !f.snapshotDue(s, now) {
		r.snapshotAt = time.Time{}
		return
	}
	if r.snapshotAt.IsZero() {
		r.snapshotAt = now.Add(f.withJitter(f.opt.SnapshotJitter) - f.opt.SnapshotJitter)
	}
	if now.Before(r.snapshotAt) {
		return
	}
	r.snapshotAt = now.Add(f.opt.SnapshotJitter)
	if err := f.WriteSnapshot(ctx); err != nil {
		f.lg.Warn("snapshot cannot be written", zap.Error(err))
	}
}

// snapshotDue reports whether the last snapshot is too old, followed by too many records, or unusable because the log
// has been trimmed.
func (f *Feed) snapshotDue(s *fold.State, now time.Time) bool {
	f.mu.Lock()
	oldest := f.oldest
	f.mu.Unlock()
	last := s.Snapshot()
	if s.Offset() < 0 {
		return false
	}
	if last.Offset < oldest || last.Covers+1 < oldest {
		return true
	}
	if s.Offset()-last.Covers > f.opt.SnapshotRecords {
		return true
	}
	return now.Sub(time.UnixMilli(last.TimeMs)) >= f.opt.SnapshotEvery
}

// WriteSnapshot appends the current state to the log, for processes that start after older records have been trimmed.
func (f *Feed) WriteSnapshot(ctx context.Context) error {
	s := f.Current()
	data, err := f.snapshotRecord(s, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.opt.CallTimeout)
	defer cancel()
	offset, err := f.log.Append(ctx, logs.ConfigStream, [][]byte{data})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.stats.Snapshots++
	f.mu.Unlock()
	f.lg.Info("snapshot written", zap.Int64("covers", s.Offset()), zap.Int64("offset", offset),
		zap.Int("bytes", len(data)))
	return nil
}

// snapshotRecord returns an encoded snapshot record of s.
func (f *Feed) snapshotRecord(s *fold.State, now time.Time) ([]byte, error) {
	body, err := snap.NewBody(s)
	if err != nil {
		return nil, err
	}
	nonce := record.NewNonce(s.Offset()+1, uuid.New())
	r, err := record.New(record.Snapshot, nonce, f.opt.Author, now.UnixMilli(), nil, body)
	if err != nil {
		return nil, err
	}
	return record.Encode(r)
}
