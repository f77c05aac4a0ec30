package origin

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

// moveBases writes the base versions that are new, provided that nothing was appended since the last read.
func (k *Keeper) moveBases(ctx context.Context, end platform.Position) error {
	k.mu.Lock()
	now := k.o.Now()
	var records []platform.Record
	next := map[string]string{}
	for pool := range k.o.Pools() {
		version, due := k.nextBase(pool, k.bases[pool], now)
		if !due {
			continue
		}
		value, err := encodeBase(baseValue{Version: version, Era: end.Era})
		if err != nil {
			k.mu.Unlock()
			return err
		}
		next[pool] = version
		records = append(records, platform.Record{Key: basePrefix + pool, Value: value})
	}
	k.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.o.Store.AppendAt(ctx, topic, end, records...)
	k.o.Stats.StoreCall(string(topic), err == nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.synced = false // after an error the records may have been written
	if err != nil {
		return err
	}
	for pool, version := range next {
		k.o.Log.Info("base version moved", zap.String("pool", pool), zap.String("software", version),
			zap.String("before", k.bases[pool].version))
		k.bases[pool] = base{version: version, current: true}
	}
	return nil
}

// writeAll writes records of streams until ctx ends, many in one call, and deletes those that have expired.
func (k *Keeper) writeAll(ctx context.Context) {
	retry := pause.Backoff{Min: minWriteRetry, Max: maxWriteRetry}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakeWriter:
		}
		begun := k.o.Now()
		called, err := k.write(ctx)
		wait := writeInterval - k.o.Now().Sub(begun)
		switch {
		case err != nil:
			wait = max(wait, retry.Next())
		case !called:
			continue
		default:
			retry.Reset()
		}
		pause.For(ctx, wait)
		wake(k.wakeWriter) // there may be more, and a failed call is repeated until one succeeds
	}
}

// write makes one call for the records that wait. It reports whether there was anything to call for.
func (k *Keeper) write(ctx context.Context) (called bool, err error) {
	k.mu.Lock()
	now, failing := k.o.Now(), k.writeFails
	batch := slices.Clone(k.unwritten[:min(maxPerRecord, len(k.unwritten))])
	streams := map[uint64]recordedStream{}
	for _, r := range batch {
		streams[r.key] = recordedStream{r.origin, r.repeats}
		if s := k.streams[r.key]; s.Origin == r.origin {
			s.recorded = true
			k.streams[r.key] = s
		}
	}
	var deleted []string
	if k.o.Leads() {
		retention := k.longestRetention()
		for key, at := range k.recordKeys {
			if now.Sub(at) > retention && len(deleted) < maxDeletions {
				deleted = append(deleted, key)
			}
		}
	}
	k.mu.Unlock()
	var records []platform.Record
	number := 0
	if len(streams) > 0 {
		value, err := encodeStreams(streams)
		if err != nil {
			return false, err
		}
		k.count++
		number = k.count
		records = append(records, platform.Record{Key: recordKey(k.name, number), Value: value})
	}
	for _, key := range deleted {
		records = append(records, platform.Record{Key: key})
	}
	if len(records) == 0 && !failing {
		return false, nil
	}
	if len(records) == 0 { // streams stay at the base version until a call succeeds
		records = append(records, platform.Record{Key: recordKey(k.name, 0)})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = k.o.Store.Append(ctx, topic, records...)
	k.o.Stats.StoreCall(string(topic), err == nil)
	k.written(batch, number, deleted, k.o.Now().Sub(now), err)
	return true, err
}

// written notes the result of a call that wrote a batch, as a record of this number, and deleted records.
func (k *Keeper) written(batch []*record, number int, deleted []string, took time.Duration, err error) {
	k.mu.Lock()
	now := k.o.Now()
	if len(batch) > 0 {
		k.latency += time.Duration(latencySmoothing * float64(took-k.latency))
	}
	if fails := err != nil; fails != k.writeFails {
		k.writeFails = fails
		k.o.Log.Info("records of streams", zap.Bool("written", !fails), zap.Int("streams", len(batch)),
			zap.Duration("took", took), zap.Error(err))
	}
	if err != nil {
		k.mu.Unlock()
		return
	}
	if number > 0 {
		k.recordKeys[recordKey(k.name, number)] = now
	}
	for _, key := range deleted {
		delete(k.recordKeys, key)
	}
	// Records whose time ran out meanwhile are not in the list any more; their orders were refused.
	isWritten := make(map[*record]bool, len(batch))
	for _, r := range batch {
		isWritten[r] = true
		if s, known := k.streams[r.key]; known && s.Origin == r.origin {
			s.stored, s.place = true, recordPlace{r.repeats, k.name, number}
			k.streams[r.key] = s
		}
	}
	var done []func(bool)
	k.unwritten = slices.DeleteFunc(k.unwritten, func(r *record) bool {
		if isWritten[r] && r.done != nil {
			done = append(done, r.done)
		}
		return isWritten[r]
	})
	k.mu.Unlock()
	for _, f := range done {
		f(true)
	}
}
