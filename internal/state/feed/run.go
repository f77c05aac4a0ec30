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

// Run reads the log and writes snapshots until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	r := runner{feed: f}
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

// runner is the state of Run's goroutine.
type runner struct {
	feed    *Feed
	backoff time.Duration
	down    bool
	retryAt time.Time
	silence time.Duration // how old the newest read may get, with jitter
	writeAt time.Time     // when a snapshot that is due will be written; zero if none is
}

// step does what is due and returns how long to wait.
func (r *runner) step(ctx context.Context) time.Duration {
	f := r.feed
	if wait := r.untilRead(); wait > 0 {
		return wait
	}
	err := f.Poll(ctx)
	if err != nil {
		return r.failed(ctx, err)
	}
	if r.down {
		f.lg.Info("log is back", zap.Int64("offset", f.Current().Offset()))
	}
	r.down = false
	r.backoff = 0
	r.silence = f.jittered(f.opt.SilentAfter)
	if f.Reader() {
		r.keepSnapshot(ctx)
	}
	return f.opt.Interval
}

// untilRead is how long a process that is no active reader leaves the log alone, or how long a failed one backs off.
func (r *runner) untilRead() time.Duration {
	f := r.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if wait := time.Until(r.retryAt); wait > 0 {
		return wait
	}
	if f.reader || f.notReady != nil {
		return 0
	}
	return r.silence - time.Since(f.fresh)
}

func (r *runner) failed(ctx context.Context, err error) time.Duration {
	f := r.feed
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return f.opt.Interval
	}
	if !r.down {
		f.lg.Warn("log cannot be read", zap.Error(err), zap.Int64("offset", f.Current().Offset()))
	}
	r.down = true
	r.backoff = min(max(2*r.backoff, f.opt.Interval), f.opt.MaxBackoff)
	wait := f.jittered(r.backoff / 2)
	r.retryAt = time.Now().Add(wait)
	return wait
}

// jittered returns a random time between d and 2 d.
func (f *Feed) jittered(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d + time.Duration(f.opt.Rand.Float64()*float64(d))
}

// keepSnapshot writes a snapshot when one is due and no other reader has been quicker.
func (r *runner) keepSnapshot(ctx context.Context) {
	f := r.feed
	s := f.Current()
	now := time.Now()
	if !f.snapshotDue(s, now) {
		r.writeAt = time.Time{}
		return
	}
	if r.writeAt.IsZero() {
		r.writeAt = now.Add(f.jittered(f.opt.SnapshotJitter) - f.opt.SnapshotJitter)
	}
	if now.Before(r.writeAt) {
		return
	}
	r.writeAt = now.Add(f.opt.SnapshotJitter)
	if err := f.WriteSnapshot(ctx); err != nil {
		f.lg.Warn("snapshot cannot be written", zap.Error(err))
	}
}

// snapshotDue says whether the last snapshot is too old, followed by too many records, or no longer of use.
func (f *Feed) snapshotDue(s *fold.State, now time.Time) bool {
	f.mu.Lock()
	oldest := f.oldest
	f.mu.Unlock()
	m := s.Snapshot()
	if s.Offset() < 0 {
		return false
	}
	if m.Offset < oldest || m.Covers+1 < oldest {
		return true
	}
	if s.Offset()-m.Covers > f.opt.SnapshotRecords {
		return true
	}
	return now.Sub(time.UnixMilli(m.TimeMs)) >= f.opt.SnapshotEvery
}

// WriteSnapshot appends the current state to the log, for processes that start after older records are trimmed.
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
	f.lg.Info("snapshot written", zap.Int64("covers", s.Offset()), zap.Int64("offset", offset), zap.Int("bytes", len(data)))
	return nil
}

func (f *Feed) snapshotRecord(s *fold.State, now time.Time) ([]byte, error) {
	body, err := snap.Body(s)
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
