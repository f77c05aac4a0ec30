package claimer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
)

// Run follows the stream until ctx ends. All appends, and all reads that are folded, are made by its goroutine.
func (c *Claimer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.sync(ctx)
		c.publishResult(err)
		c.wait(ctx, err != nil)
	}
}

// sync appends the pending records and reads the stream to its end. It reads before its first append.
func (c *Claimer) sync(ctx context.Context) error {
	if !c.hasRead() {
		if err := c.readToEnd(ctx); err != nil {
			return err
		}
	}
	appendErr := c.appendPending(ctx)
	if err := c.readToEnd(ctx); err != nil {
		return err
	}
	return appendErr
}

// hasRead reports whether the stream was ever read to its end.
func (c *Claimer) hasRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead > 0
}

// appendPending appends a batch of pending records in one call.
func (c *Claimer) appendPending(ctx context.Context) error {
	batch := c.nextBatch()
	if len(batch) == 0 {
		return nil
	}
	records := make([][]byte, len(batch))
	now := c.opts.Now().UnixMilli()
	for i, pr := range batch {
		rec := pr.record
		rec.AtMs = now
		records[i], _ = rec.Encode() // enqueue has checked that it encodes
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first, err := c.opts.Log.Append(ctx, c.stream, records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Appends++
	c.counts.Records += int64(len(batch))
	if err != nil {
		return err
	}
	for i, pr := range batch {
		pr.appended = true
		pr.offset = first + int64(i)
	}
	return nil
}

// readToEnd reads and folds the stream up to its end.
func (c *Claimer) readToEnd(ctx context.Context) error {
	c.mu.Lock()
	c.readsStarted++
	current := c.readsStarted
	from := c.fold.Next()
	c.mu.Unlock()
	for {
		b, err := c.readBatch(ctx, from)
		if err != nil {
			return err
		}
		from = c.apply(b)
		if from >= b.Next {
			break
		}
	}
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = current
	c.trimIfDue(now)
	c.requeueMissing()
	return nil
}

// trimIfDue drops expired actions from memory, at most once every trimInterval.
func (c *Claimer) trimIfDue(now time.Time) {
	if now.Sub(c.trimmedAt) < trimInterval {
		return
	}
	c.trimmedAt = now
	c.fold.Trim(now)
}

// readBatch reads one batch of records, from an offset on.
func (c *Claimer) readBatch(ctx context.Context, from int64) (logs.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := c.opts.Log.Read(ctx, c.stream, from, maxReadRecords)
	c.mu.Lock()
	c.counts.Reads++
	c.mu.Unlock()
	return b, err
}

// apply folds a batch and returns the offset to read next.
func (c *Claimer) apply(b logs.Batch) int64 {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, data := range b.Records {
		if r, ok := c.fold.Apply(b.First+int64(i), data); ok {
			c.resolve(r)
		}
	}
	if len(b.Records) == 0 {
		c.fold.Skip(b.Next, now)
	}
	return c.fold.Next()
}

// requeueMissing marks records for another append that were acknowledged but not found at their offset.
func (c *Claimer) requeueMissing() {
	for _, pr := range c.pending {
		if pr.appended && pr.offset < c.fold.Next() {
			pr.appended = false
		}
	}
}

// publishResult records whether the log is available and notifies the waiting calls.
func (c *Claimer) publishResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	c.mu.Lock()
	wasUp := c.available
	c.available = err == nil
	c.mu.Unlock()
	c.hub.Notify()
	if wasUp != (err == nil) {
		c.opts.Zap.Info("actionStream",
			zap.String("service", c.opts.Service),
			zap.Bool("up", err == nil),
			zap.Error(err))
	}
}

// wait waits until the next sync is due: retryInterval after a failure; otherwise at least commitInterval, which bounds
// the rate of appends, and without pending records up to pollInterval more, unless wakeUp is called.
func (c *Claimer) wait(ctx context.Context, failed bool) {
	if failed {
		pause.For(ctx, retryInterval)
		return
	}
	if !pause.For(ctx, commitInterval) || c.hasPending() {
		return
	}
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-t.C:
	}
}

// hasPending reports whether records wait to be appended or read back.
func (c *Claimer) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}
