package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/snap"
)

// maxRestoresPerPoll bounds how often one poll restores from a snapshot because the log has been trimmed meanwhile.
const maxRestoresPerPoll = 3

// Poll reads the log once up to its end; it is safe for concurrent use.
func (f *Feed) Poll(ctx context.Context) error {
	err := f.poll(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.notReady = nil
		return nil
	}
	f.stats.FailedReads++
	if f.notReady != nil {
		f.notReady = err
	}
	return err
}

// poll reads the log up to its end. It restores the state from a snapshot in the log if the next records have been
// trimmed or, at the start, if very many follow.
func (f *Feed) poll(ctx context.Context) error {
	restores := 0
	triedSnapshot := false
	for {
		start := time.Now()
		from := f.Current().Offset() + 1
		b, err := f.read(ctx, from, readLimit)
		if err != nil {
			return err
		}
		if b.Next < from {
			return fmt.Errorf("the log ends at offset %d, but offset %d has been folded: the log lost records",
				b.Next-1, from-1)
		}
		if b.Oldest > from {
			restores++
			if err := f.restoreFromLog(ctx, b); err != nil || restores > maxRestoresPerPoll {
				return errors.Join(trimmedError(b, from), err)
			}
			continue
		}
		if !triedSnapshot && f.farBehind(b, from) {
			triedSnapshot = true
			if f.restoreFromLog(ctx, b) == nil {
				continue
			}
		}
		if f.applyBatch(b, start) {
			return nil
		}
	}
}

// trimmedError returns the error of a read from an offset that the log no longer has.
func trimmedError(b logs.Batch, from int64) error {
	return fmt.Errorf("the log keeps records from offset %d only, and offset %d is needed", b.Oldest, from)
}

// farBehind reports whether a starting feed should look for a snapshot although the log still has all records.
func (f *Feed) farBehind(b logs.Batch, from int64) bool {
	return f.Ready() != nil && b.Next-from > 2*f.opt.SnapshotRecords
}

// read reads a batch and returns an error if the answer does not match the call.
func (f *Feed) read(ctx context.Context, from int64, limit int) (logs.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opt.CallTimeout)
	defer cancel()
	b, err := f.log.Read(ctx, logs.ConfigStream, from, limit)
	if err != nil {
		return logs.Batch{}, err
	}
	if len(b.Records) > 0 && b.First != max(from, b.Oldest) {
		return logs.Batch{}, fmt.Errorf("log answered from offset %d when asked for %d", b.First, from)
	}
	if len(b.Records) == 0 && max(from, b.Oldest) < b.Next {
		return logs.Batch{}, fmt.Errorf("log answered no records from offset %d on, although it ends at %d",
			from, b.Next-1)
	}
	return b, nil
}

// applyBatch applies the records of a read and reports whether the end of the log has been reached.
func (f *Feed) applyBatch(b logs.Batch, start time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldest = max(f.oldest, b.Oldest)
	run := batch{next: f.Current().Offset() + 1}
	for i, data := range b.Records {
		if b.First+int64(i) == run.next {
			run.add(data)
		}
	}
	f.apply(run)
	if f.Current().Offset()+1 < b.Next {
		return false
	}
	f.lastRead = start
	if start.After(f.newestRead) {
		f.newestRead = start
	}
	return true
}

// restoreFromLog restores the latest usable snapshot in the log, searching backwards from the end.
func (f *Feed) restoreFromLog(ctx context.Context, b logs.Batch) error {
	unusable := 0
	for end := b.Next; end > b.Oldest; {
		first := max(b.Oldest, end-readLimit)
		records, oldest, err := f.readRange(ctx, first, end)
		if err != nil {
			return err
		}
		for i := len(records) - 1; i >= 0; i-- {
			body, ok := decodeSnapshotBody(records[i])
			if !ok {
				continue
			}
			if body.Offset+1 < oldest {
				unusable++
				continue
			}
			if f.restoreBody(body) {
				return nil
			}
		}
		end = first
	}
	return fmt.Errorf("no usable snapshot between offsets %d and %d; %d end before the oldest record",
		b.Oldest, b.Next-1, unusable)
}

// restoreBody restores the state in a snapshot record and reports whether it replaced the current one.
func (f *Feed) restoreBody(body record.SnapshotBody) bool {
	s, err := snap.Restore(body)
	if err != nil {
		f.lg.Warn("snapshot in the log is damaged", zap.Error(err))
		return false
	}
	return f.restore(s, "log")
}

// readRange reads the records from first up to, not including, end, and returns the oldest offset in the log; records
// trimmed meanwhile are missing.
func (f *Feed) readRange(ctx context.Context, first, end int64) ([][]byte, int64, error) {
	var records [][]byte
	var oldest int64
	for at := first; at < end; {
		b, err := f.read(ctx, at, int(end-at))
		if err != nil {
			return nil, 0, err
		}
		oldest = b.Oldest
		if len(b.Records) == 0 {
			break
		}
		records = append(records, b.Records...)
		at = b.First + int64(len(b.Records))
	}
	return records, oldest, nil
}

// decodeSnapshotBody returns the payload of a snapshot record; false if data is not a valid one.
func decodeSnapshotBody(data []byte) (record.SnapshotBody, bool) {
	var body record.SnapshotBody
	if !record.IsSnapshot(data) {
		return body, false
	}
	r, err := record.Decode(data)
	if err != nil || r.Kind != record.Snapshot {
		return body, false
	}
	return body, record.DecodeStrict(r.Payload, &body) == nil
}

// ReadTo polls the log until the state covers offset or ctx is done.
func (f *Feed) ReadTo(ctx context.Context, offset int64) error {
	for {
		changed := f.Changed()
		if f.Current().Offset() >= offset {
			return nil
		}
		err := f.Poll(ctx)
		if f.Current().Offset() >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-changed:
		case <-time.After(f.opt.Interval):
		}
	}
}
