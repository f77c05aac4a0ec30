package claimer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
)

// Run follows the stream until ctx ends; it alone calls the log for appends and the fold.
func (w *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.round(ctx)
		w.settleRound(err)
		w.pause(ctx, err != nil)
	}
}

// round appends what waits and reads the stream to its end.
func (w *Claimer) round(ctx context.Context) error {
	if !w.everRead() {
		if err := w.follow(ctx); err != nil {
			return err
		}
	}
	appendErr := w.commit(ctx)
	if err := w.follow(ctx); err != nil {
		return err
	}
	return appendErr
}

func (w *Claimer) everRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read > 0
}

// commit appends the waiting records in one call.
func (w *Claimer) commit(ctx context.Context) error {
	items := w.batch()
	if len(items) == 0 {
		return nil
	}
	records := make([][]byte, len(items))
	now := w.opts.Now().UnixMilli()
	for i, it := range items {
		rec := it.rec
		rec.AtMs = now
		records[i], _ = rec.Encode() // enqueue has checked that it encodes
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, err := w.opts.Log.Append(ctx, w.stream, records)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Appends++
	w.counts.Records += int64(len(items))
	if err != nil {
		return err
	}
	for i, it := range items {
		it.appended = true
		it.offset = first + int64(i)
	}
	return nil
}

// follow reads up to the end of the stream.
func (w *Claimer) follow(ctx context.Context) error {
	w.mu.Lock()
	w.started++
	round := w.started
	from := w.fold.Next()
	w.mu.Unlock()
	for {
		b, err := w.fetch(ctx, from)
		if err != nil {
			return err
		}
		from = w.apply(b)
		if from >= b.Next {
			break
		}
	}
	now := w.opts.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read = round
	w.trim(now)
	w.retry()
	return nil
}

func (w *Claimer) trim(now time.Time) {
	if now.Sub(w.trimmed) < trimInterval {
		return
	}
	w.trimmed = now
	w.fold.Trim(now)
}

func (w *Claimer) fetch(ctx context.Context, from int64) (logs.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := w.opts.Log.Read(ctx, w.stream, from, readLimit)
	w.mu.Lock()
	w.counts.Reads++
	w.mu.Unlock()
	return b, err
}

// apply folds a batch and returns the offset to read next.
func (w *Claimer) apply(b logs.Batch) int64 {
	now := w.opts.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, data := range b.Records {
		if r, ok := w.fold.Apply(b.First+int64(i), data); ok {
			w.see(r)
		}
	}
	if len(b.Records) == 0 {
		w.fold.Skip(b.Next, now)
	}
	return w.fold.Next()
}

// retry appends again what was acknowledged but is not in the stream up to its offset.
func (w *Claimer) retry() {
	for _, it := range w.pending {
		if it.appended && it.offset < w.fold.Next() {
			it.appended = false
		}
	}
}

// settleRound publishes how a round ended.
func (w *Claimer) settleRound(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	w.mu.Lock()
	was := w.up
	w.up = err == nil
	w.mu.Unlock()
	w.hub.Notify()
	if was != (err == nil) {
		w.opts.Zap.Info("actionStream",
			zap.String("service", w.opts.Service),
			zap.Bool("up", err == nil),
			zap.Error(err))
	}
}

// pause waits for work, but never less than the bound on the rate of appends.
func (w *Claimer) pause(ctx context.Context, failed bool) {
	if failed {
		pause.For(ctx, retryInterval)
		return
	}
	if !pause.For(ctx, commitInterval) || w.waiting() {
		return
	}
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-t.C:
	}
}

func (w *Claimer) waiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0
}
