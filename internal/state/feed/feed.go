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

// errStarting is returned by Ready until the feed has read the log or restored a peer's snapshot.
var errStarting = errors.New("no configuration yet: the log has not been read, and no peer has sent a snapshot")

// Feed holds the newest configuration state known to a process; its offset never decreases.
type Feed struct {
	log     logs.Service
	opt     Options
	lg      *zap.Logger
	current atomic.Pointer[fold.State]
	changed *notify.Broadcaster
	wake    chan struct{}

	// mu guards the fields below; no I/O is done while it is held.
	mu         sync.Mutex
	ring       ring
	notReady   error     // returned by Ready
	reader     bool      // this process is an active log reader
	lastRead   time.Time // start of this process's last read that reached the end of the log
	newestRead time.Time // start of the newest such read by any process that the current state covers
	oldest     int64     // oldest offset in the log as of the last read
	stats      Stats
}

// Stats counts events of a feed.
type Stats struct {
	Records     int64               // records applied
	Rejected    map[fold.Code]int64 // rejected records by code
	BadOffers   int64               // damaged records offered by peers
	Snapshots   int64               // snapshots written
	Restored    int64               // states restored from snapshots
	Diverged    int64               // snapshots whose digest differs from the local state at the same revision
	FailedReads int64               // polls of the log that failed
}

// New returns a feed with an empty state; Run starts it. The feed is an active log reader until SetReader changes that.
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

// Changed returns a channel that is closed at the next change of state; get it before calling Current.
func (f *Feed) Changed() <-chan struct{} { return f.changed.Next() }

// Ready returns nil once the state has been current, or the reason why it has not been yet.
func (f *Feed) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notReady
}

// LastRead returns when this process last started a read that reached the end of the log; zero before the first.
func (f *Feed) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Fresh returns the start of the newest read of the log, by any process, that the current state is known to cover.
func (f *Feed) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestRead
}

// Stats returns a copy of the counters.
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

// SetReader sets whether this process is one of the active log readers of its zone.
func (f *Feed) SetReader(active bool) {
	f.mu.Lock()
	changed := f.reader != active
	f.reader = active
	f.mu.Unlock()
	if changed {
		f.lg.Info("log reader", zap.Bool("active", active))
		f.wakeRun()
	}
}

// Reader reports whether this process is an active log reader.
func (f *Feed) Reader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader
}

// wakeRun makes Run take its next step without waiting.
func (f *Feed) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Heard records that a peer at offset knew of a read of the log that started age ago; it is ignored if the current
// state does not cover offset.
func (f *Feed) Heard(offset int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := time.Now().Add(-age)
	if f.Current().Offset() >= offset && start.After(f.newestRead) {
		f.newestRead = start
	}
}

// Since returns up to limit records after offset, for a peer, with their offsets; false means that records have been
// evicted and the peer needs a snapshot.
func (f *Feed) Since(offset int64, limit int) ([]int64, [][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ring.after(offset, limit)
}

// Snapshot returns the encoded current state, for a peer, and its offset.
func (f *Feed) Snapshot() ([]byte, int64, error) {
	s := f.Current()
	data, err := snap.Encode(s)
	return data, s.Offset(), err
}

// Offer applies the records sent by a peer that follow the current offset without a gap, and returns their number.
// It stops at a damaged record, as the peer or the network may have damaged it: only the log or a snapshot can tell
// which record is at that offset.
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
		if isDamaged(records[i]) {
			f.stats.BadOffers++
			f.lg.Warn("record from a peer is damaged", zap.Int64("offset", offset))
			break
		}
		batch.add(records[i])
	}
	f.apply(batch)
	return len(batch.records)
}

// isDamaged reports whether the checksum of a record is missing or wrong.
func isDamaged(data []byte) bool {
	_, err := record.Decode(data)
	var e *record.Error
	return errors.As(err, &e) && (e.Reason == record.Truncated || e.Reason == record.Corrupt)
}

// OfferSnapshot restores a state sent by a peer if its offset is above the current one, and reports whether it did.
func (f *Feed) OfferSnapshot(data []byte) (bool, error) {
	s, err := snap.Decode(data)
	if err != nil {
		return false, err
	}
	return f.restore(s, "peer"), nil
}

// restore makes s the current state if it is newer, and reports whether it did; a peer's state at the same offset still
// makes a starting feed ready. from is "log" or "peer".
func (f *Feed) restore(s *fold.State, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if s.Offset() < current.Offset() {
		return false
	}
	if from == "peer" {
		f.notReady = nil
	}
	if s.Offset() == current.Offset() {
		return false
	}
	f.stats.Restored++
	f.ring.reset(s.Offset() + 1)
	f.lg.Info("configuration state restored from a snapshot", zap.String("from", from), zap.Int64("offset", s.Offset()),
		zap.Int64("before", current.Offset()), zap.String("digest", s.Digest()))
	f.setCurrent(s)
	return true
}

// setCurrent makes s the current state and wakes the goroutines waiting on Changed; the caller holds mu. Config and
// Digest are computed first, so that readers find them cached.
func (f *Feed) setCurrent(s *fold.State) {
	s.Config()
	s.Digest()
	f.current.Store(s)
	f.changed.Broadcast()
}

// batch is a contiguous range of records.
type batch struct {
	next    int64 // offset after the last record
	records [][]byte
}

func (b *batch) add(r []byte) {
	b.records = append(b.records, r)
	b.next++
}

// apply applies a batch that starts right after the current offset; the caller holds mu.
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
		f.checkDivergence(s, data)
		next, rejection := s.Apply(offset, data)
		f.ring.add(data)
		f.recordOutcome(next, rejection)
		s = next
	}
	f.setCurrent(s)
}

// recordOutcome counts a record that led to state s, and logs its rejection.
func (f *Feed) recordOutcome(s *fold.State, r *fold.Rejection) {
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
	case fold.Corrupt, fold.Truncated, fold.NewerFormat, fold.Malformed:
		f.lg.Warn("record rejected", fields...)
	default:
		f.lg.Info("record rejected", fields...)
	}
}

// checkDivergence logs and counts a snapshot record that has the revision of s but another digest.
func (f *Feed) checkDivergence(s *fold.State, data []byte) {
	body, ok := decodeSnapshotBody(data)
	if !ok || body.Revision != s.Revision() || body.Digest == s.Digest() {
		return
	}
	f.stats.Diverged++
	f.lg.Error("snapshot digest differs from the local state", zap.Int64("revision", body.Revision),
		zap.String("digest", s.Digest()), zap.String("theirs", body.Digest))
}
