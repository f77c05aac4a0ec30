package feed

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/notify"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/snap"
)

// errStarting is the reason of a feed that has neither read the log nor heard a peer.
var errStarting = errors.New("no configuration yet: the log has not been read, and no peer has sent a snapshot")

// Feed holds the newest configuration state that a process knows; its offset never goes down.
type Feed struct {
	log     logs.Service
	opt     Options
	lg      *zap.Logger
	current atomic.Pointer[fold.State]
	changed *notify.Box
	wake    chan struct{}

	// mu guards what follows; its holder does no I/O.
	mu       sync.Mutex
	ring     ring
	notReady error
	reader   bool
	lastRead time.Time // start of the last read that reached the end of the log
	fresh    time.Time // the same of any process whose state has been taken over
	oldest   int64     // oldest offset in the log at the last read
	stats    Stats
}

// Stats counts what a feed has met.
type Stats struct {
	Records     int64               // folded
	Rejected    map[fold.Code]int64 // records by the reason of their rejection
	BadOffers   int64               // unreadable records offered by peers
	Snapshots   int64               // written
	Restored    int64               // states taken over from snapshots
	Diverged    int64               // snapshots that differ from the own state at the same revision
	FailedReads int64
}

// New returns a feed before its first record; Run starts it. An active reader is the default.
func New(log logs.Service, opt Options, lg *zap.Logger) *Feed {
	f := &Feed{
		log:      log,
		opt:      opt.withDefaults(),
		lg:       lg,
		changed:  notify.New(),
		wake:     make(chan struct{}, 1),
		notReady: errStarting,
		reader:   true,
		stats:    Stats{Rejected: map[fold.Code]int64{}},
	}
	f.ring.maxBytes = f.opt.RingBytes
	f.current.Store(fold.New())
	return f
}

// Current returns the newest state known.
func (f *Feed) Current() *fold.State { return f.current.Load() }

// Changed returns a channel that is closed when the offset next rises; take it before calling Current.
func (f *Feed) Changed() <-chan struct{} { return f.changed.Next() }

// Ready returns nil once the state is known to be current, or why it is not.
func (f *Feed) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notReady
}

// LastRead is when this process last started a read that reached the end of the log; zero before the first.
func (f *Feed) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Fresh is the start of the newest read of the log, by any process, that this state is known to cover.
func (f *Feed) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Stats returns a copy of the counts.
func (f *Feed) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.stats
	c.Rejected = make(map[fold.Code]int64, len(f.stats.Rejected))
	for code, n := range f.stats.Rejected {
		c.Rejected[code] = n
	}
	return c
}

// SetReader says whether this process is one of the active log readers of its zone.
func (f *Feed) SetReader(active bool) {
	f.mu.Lock()
	changed := f.reader != active
	f.reader = active
	f.mu.Unlock()
	if changed {
		f.lg.Info("log reader", zap.Bool("active", active))
		f.poke()
	}
}

// Reader says whether this process is an active log reader.
func (f *Feed) Reader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader
}

func (f *Feed) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Heard notes that a peer at an offset knew of a read of the log that started age ago.
func (f *Feed) Heard(offset int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().Add(-age)
	if f.Current().Offset() >= offset && at.After(f.fresh) {
		f.fresh = at
	}
}

// Since returns up to limit records after an offset, for a peer; false means that it needs a snapshot.
func (f *Feed) Since(offset int64, limit int) ([]int64, [][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ring.since(offset, limit)
}

// Snapshot returns the current state for a peer, with its offset.
func (f *Feed) Snapshot() ([]byte, int64, error) {
	s := f.Current()
	data, err := snap.Encode(s)
	return data, s.Offset(), err
}

// Offer takes the records that a peer sent and that follow the own offset without a gap; it returns how many.
// It stops at a record that cannot be read, as that may be the peer's or the network's fault: the log or a snapshot
// must say what stands there.
func (f *Feed) Offer(offsets []int64, records [][]byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Current().Offset()
	batch := batch{next: before + 1}
	for i, offset := range offsets {
		if i >= len(records) || offset > batch.next {
			break
		}
		if offset < batch.next {
			continue
		}
		if damaged(records[i]) {
			f.stats.BadOffers++
			f.lg.Warn("record from a peer is damaged", zap.Int64("offset", offset))
			break
		}
		batch.add(records[i])
	}
	f.apply(batch)
	return len(batch.records)
}

func damaged(data []byte) bool {
	_, err := record.Decode(data)
	var e *record.Error
	return errors.As(err, &e) && (e.Reason == record.Cut || e.Reason == record.Corrupt)
}

// OfferSnapshot takes over a state that a peer sent, if its offset is higher than the own; it returns whether it did.
func (f *Feed) OfferSnapshot(data []byte) (bool, error) {
	s, err := snap.Decode(data)
	if err != nil {
		return false, err
	}
	return f.restore(s, "peer"), nil
}

// restore takes over a state unless it is older; an equal one still makes a starting feed ready.
func (f *Feed) restore(s *fold.State, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Current()
	if s.Offset() < now.Offset() {
		return false
	}
	if from == "peer" {
		f.notReady = nil
	}
	if s.Offset() == now.Offset() {
		return false
	}
	f.stats.Restored++
	f.ring.reset(s.Offset() + 1)
	f.lg.Info("state restored", zap.String("from", from), zap.Int64("offset", s.Offset()),
		zap.Int64("before", now.Offset()), zap.String("digest", s.Digest()))
	f.publish(s)
	return true
}

// publish makes a state the current one; the caller holds mu.
func (f *Feed) publish(s *fold.State) {
	s.Config()
	s.Digest()
	f.current.Store(s)
	f.changed.Fire()
}

// batch is a run of records without a gap.
type batch struct {
	next    int64 // offset after the last record
	records [][]byte
}

func (b *batch) add(r []byte) {
	b.records = append(b.records, r)
	b.next++
}

// apply folds a run that starts right after the current offset; the caller holds mu.
func (f *Feed) apply(b batch) {
	if len(b.records) == 0 {
		return
	}
	s := f.Current()
	first := b.next - int64(len(b.records))
	if first != s.Offset()+1 {
		return
	}
	for i, data := range b.records {
		offset := first + int64(i)
		f.compare(s, data)
		next, rejection := s.Apply(offset, data)
		f.ring.add(data)
		f.note(next, rejection)
		s = next
	}
	f.publish(s)
}

func (f *Feed) note(s *fold.State, r *fold.Rejection) {
	f.stats.Records++
	if r == nil {
		return
	}
	f.stats.Rejected[r.Code]++
	fields := []zap.Field{
		zap.Int64("offset", r.Offset),
		zap.String("code", string(r.Code)),
		zap.String("nonce", r.Nonce),
		zap.String("author", r.Author),
		zap.String("message", r.Message),
		zap.Int64("revision", s.Revision()),
	}
	switch r.Code {
	case fold.Corrupt, fold.Cut, fold.NewerFormat, fold.Malformed:
		f.lg.Warn("record rejected", fields...)
	default:
		f.lg.Info("record rejected", fields...)
	}
}

// compare reports a snapshot that another process wrote of the same revision with another digest.
func (f *Feed) compare(s *fold.State, data []byte) {
	body, ok := snapshotBody(data)
	if !ok || body.Revision != s.Revision() || body.Digest == s.Digest() {
		return
	}
	f.stats.Diverged++
	f.lg.Error("snapshot differs from the own state", zap.Int64("revision", body.Revision),
		zap.String("digest", s.Digest()), zap.String("theirs", body.Digest))
}
