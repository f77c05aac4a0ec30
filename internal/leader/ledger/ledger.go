package ledger

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	topic         = platform.TopicBlocks
	key           = "blocks" // of the only record
	checkInterval = 250 * time.Millisecond
	leadTime      = 1500 * time.Millisecond // processes that start together lead only themselves until they find each other
	callTimeout   = 1500 * time.Millisecond
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	maxRecordTTL  = 24 * time.Hour // since the first crash
)

// Store holds the record.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) ([]platform.Record, platform.Position, error)
	Put(ctx context.Context, topic platform.Topic, r platform.Record) error
	Era() int64
}

// Options are the dependencies of a Ledger.
type Options struct {
	Store Store
	Crash *crash.Tracker
	Leads func() bool // reports whether this entry leads others or is alone
	Now   func() time.Time
	Log   *zap.Logger
}

// Ledger reads the blocks when this entry begins to lead, and writes them when they change while it does.
type Ledger struct {
	opts   Options
	stored []entry // as last read or written
	read   bool    // since this entry began to lead, in the present era of the store
	era    int64   // of the store when the record was read
}

// entry is one block in the record.
type entry struct {
	Parts       []string `json:"parts"`
	FirstUnixMs int64    `json:"firstUnixMs"`
	UntilUnixMs int64    `json:"untilUnixMs"`
	PauseMs     int64    `json:"pauseMs"`
}

// New returns a ledger that does nothing until Run is called.
func New(o Options) *Ledger { return &Ledger{opts: o} }

// Run keeps the record and the tracker in step until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	retry := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	leadsSince := l.opts.Now()
	for pause.For(ctx, checkInterval) {
		now := l.opts.Now()
		if !l.opts.Leads() {
			l.read, leadsSince = false, now
			continue
		}
		if now.Sub(leadsSince) < leadTime {
			continue
		}
		if err := l.sync(ctx); err != nil {
			l.opts.Log.Warn("can't keep the blocked prompt parts in the store", zap.Error(err))
			pause.For(ctx, retry.Next())
			continue
		}
		retry.Reset()
	}
}

// sync reads the record once and writes it if the blocks are others.
func (l *Ledger) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if era := l.opts.Store.Era(); era != l.era {
		l.read, l.era = false, era
	}
	if !l.read {
		if err := l.load(ctx); err != nil {
			return err
		}
	}
	if slices.EqualFunc(l.current(), l.stored, sameBlock) {
		return nil
	}
	// Another entry may have led and written meanwhile.
	if err := l.load(ctx); err != nil {
		return err
	}
	now, entries := l.opts.Now(), l.current()
	record := platform.Record{Key: key}
	if len(entries) > 0 {
		value, err := json.Marshal(entries)
		if err != nil {
			return err
		}
		record.Value = value
	}
	if err := l.opts.Store.Put(ctx, topic, record); err != nil {
		return err
	}
	l.stored = entries
	l.opts.Log.Info("blocked prompt parts written", zap.Int("blocks", len(entries)), zap.Duration("took", l.opts.Now().Sub(now)))
	return nil
}

// current returns the tracker's blocks.
func (l *Ledger) current() []entry {
	var out []entry
	for _, b := range l.opts.Crash.Blocks() {
		out = append(out, entry{b.Parts, b.First.UnixMilli(), b.Until.UnixMilli(), b.Pause.Milliseconds()})
	}
	return out
}

// sameBlock compares what must not be lost; the next trial may come early after a restart.
func sameBlock(a, b entry) bool { return slices.Equal(a.Parts, b.Parts) && a.PauseMs == b.PauseMs }

// load reads the record and adds its blocks to those that the tracker has.
func (l *Ledger) load(ctx context.Context) error {
	records, _, err := l.opts.Store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	l.read, l.stored = true, nil
	now := l.opts.Now()
	var blocks []crash.Block
	for _, r := range records {
		if r.Key != key || len(r.Value) == 0 {
			continue
		}
		if err := json.Unmarshal(r.Value, &l.stored); err != nil {
			l.opts.Log.Warn("can't decode the blocked prompt parts", zap.Int64("offset", r.Offset), zap.Error(err))
			continue
		}
	}
	for _, e := range l.stored {
		first := time.UnixMilli(e.FirstUnixMs)
		if now.Sub(first) > maxRecordTTL || len(e.Parts) == 0 {
			continue
		}
		// Clocks may differ, so the time to the next trial is bounded by its pause.
		wait := time.Duration(e.PauseMs) * time.Millisecond
		left := min(time.UnixMilli(e.UntilUnixMs).Sub(now), wait)
		blocks = append(blocks, crash.Block{Parts: e.Parts, First: first, Until: now.Add(left), Pause: wait})
	}
	l.opts.Crash.AddBlocks(blocks)
	if len(blocks) > 0 {
		l.opts.Log.Info("blocked prompt parts read", zap.Int("blocks", len(blocks)))
	}
	return nil
}
