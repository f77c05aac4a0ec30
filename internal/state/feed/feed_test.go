package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// newFeed returns a feed that does not run yet.
func newFeed(log logs.Service, seed uint64, opt Options) *Feed {
	opt.Rand = rand.New(rand.NewPCG(seed, 0))
	opt.Author = fmt.Sprint("p", seed)
	return New(log, opt, zap.NewNop())
}

// startFeed returns a running feed, which stops at the end of the test.
func startFeed(t *testing.T, log logs.Service, seed uint64, opt Options) *Feed {
	f := newFeed(log, seed, opt)
	go func() { _ = f.Run(t.Context()) }()
	return f
}

// inVirtualTime runs a test in a synctest bubble and stops its feeds at the end.
func inVirtualTime(t *testing.T, f func(t *testing.T, c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { f(t, qt.New(t)) })
}

// appendChange appends a valid change of one team and returns its offset.
func appendChange(c *qt.C, log *memlog.Log, s *fold.State, n int) int64 {
	spec := team.Spec{Name: "acme", TokenDigest: fmt.Sprintf("%064d", n), Share: 0.1}
	ref := config.Ref{Kind: config.Teams, Name: spec.Name}
	body := record.ChangeBody{Set: config.Objects{Teams: []team.Spec{spec}}}
	r, err := record.New(record.Change, record.NewNonce(s.Offset()+1, uuid.New()), "ann", time.Now().UnixMilli(),
		map[config.Ref]int64{ref: s.Meta(ref).Revision}, body)
	c.Assert(err, qt.IsNil)
	return appendRecord(c, log, r)
}

func appendRecord(c *qt.C, log *memlog.Log, r record.Record) int64 {
	data, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	offset, err := log.Append(context.Background(), logs.ConfigStream, [][]byte{data})
	c.Assert(err, qt.IsNil)
	return offset
}

// appendChanges appends n changes, each based on the previous one.
func appendChanges(c *qt.C, log *memlog.Log, n int) {
	f := New(log, Options{}, zap.NewNop())
	for i := range n {
		c.Assert(f.Poll(context.Background()), qt.IsNil)
		appendChange(c, log, f.Current(), i)
	}
}

func TestReaderSeesAChangeWithinItsInterval(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		f := newFeed(log, 1, Options{})
		c.Assert(f.Ready(), qt.ErrorIs, errStarting)
		go func() { _ = f.Run(t.Context()) }()
		time.Sleep(time.Millisecond)
		c.Assert(f.Ready(), qt.IsNil)
		offset := appendChange(c, log, f.Current(), 1)
		changed := f.Changed()
		start := time.Now()
		<-changed
		c.Assert(time.Since(start) <= time.Second, qt.IsTrue)
		c.Assert(f.Current().Offset(), qt.Equals, offset)
		c.Assert(f.LastRead().Before(start), qt.IsFalse)
	})
}

func TestStateIsKeptWhileTheLogIsDown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		appendChanges(c, log, 3)
		f := startFeed(t, log, 1, Options{})
		time.Sleep(time.Second)
		reads := log.Reads()
		log.SetDown(true)
		time.Sleep(10 * time.Minute)
		c.Assert(f.Ready(), qt.IsNil)
		c.Assert(f.Current().Revision(), qt.Equals, int64(2))
		tries := log.Reads() - reads
		c.Assert(tries < 10*60/4+10, qt.IsTrue, qt.Commentf("%d reads in 10 minutes", tries))
		log.SetDown(false)
		offset := appendChange(c, log, f.Current(), 9)
		time.Sleep(defaultMaxBackoff)
		c.Assert(f.Current().Offset() >= offset, qt.IsTrue)
	})
}

func TestStartDuringLogOutageUsesPeerSnapshot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		appendChanges(c, log, 3)
		old := startFeed(t, log, 1, Options{})
		time.Sleep(time.Second)
		log.SetDown(true)
		f := startFeed(t, log, 2, Options{})
		time.Sleep(time.Minute)
		c.Assert(f.Ready(), qt.ErrorIs, memlog.ErrDown)
		data, offset, err := old.Snapshot()
		c.Assert(err, qt.IsNil)
		restored, err := f.OfferSnapshot(data)
		c.Assert(restored, qt.IsTrue)
		c.Assert(err, qt.IsNil)
		c.Assert(f.Ready(), qt.IsNil)
		c.Assert(f.Current().Offset(), qt.Equals, offset)
		c.Assert(f.Current().Digest(), qt.Equals, old.Current().Digest())
	})
}

func TestOffsetNeverDecreases(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	appendChanges(c, log, 3)
	f := New(log, Options{}, zap.NewNop())
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	old, _, err := f.Snapshot()
	c.Assert(err, qt.IsNil)
	offsets, records, ok := f.Since(-1, 10)
	c.Assert(ok, qt.IsTrue)
	appendChange(c, log, f.Current(), 9)
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	before := f.Current()
	restored, err := f.OfferSnapshot(old)
	c.Assert(err, qt.IsNil)
	c.Assert(restored, qt.IsFalse)
	c.Assert(f.Offer(offsets, records), qt.Equals, 0)
	c.Assert(f.Current(), qt.Equals, before)
	shorter := memlog.New() // a log that has lost its records
	f.log = shorter
	c.Assert(f.Poll(context.Background()), qt.ErrorMatches, `the log ends at offset -1, but offset 3 has been folded.*`)
	c.Assert(f.Current(), qt.Equals, before)
}

func TestOfferedRecords(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	appendChanges(c, log, 5)
	from := New(log, Options{}, zap.NewNop())
	c.Assert(from.Poll(context.Background()), qt.IsNil)
	offsets, records, ok := from.Since(-1, 4)
	c.Assert(ok, qt.IsTrue)
	c.Assert(offsets, qt.DeepEquals, []int64{0, 1, 2, 3})

	to := New(log, Options{}, zap.NewNop())
	c.Assert(to.Offer(offsets[1:], records[1:]), qt.Equals, 0) // a gap
	c.Assert(to.Offer(offsets[:2], records[:2]), qt.Equals, 2)
	damaged := append([]byte(nil), records[3]...)
	damaged[30] ^= 1
	c.Assert(to.Offer(offsets, [][]byte{records[0], records[1], records[2], damaged}), qt.Equals, 1)
	c.Assert(to.Stats().BadOffers, qt.Equals, int64(1))
	c.Assert(to.Current().Offset(), qt.Equals, int64(2))
	c.Assert(to.Offer(offsets, records), qt.Equals, 1)
	c.Assert(to.Ready(), qt.IsNotNil) // records do not show that no more follow
}

func TestRingIsBounded(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	appendChanges(c, log, 50)
	f := New(log, Options{RingBytes: 2000}, zap.NewNop())
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	_, _, ok := f.Since(-1, 10)
	c.Assert(ok, qt.IsFalse)
	offsets, records, ok := f.Since(47, 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(offsets, qt.DeepEquals, []int64{48, 49})
	c.Assert(records, qt.HasLen, 2)
	_, records, ok = f.Since(49, 10)
	c.Assert(ok, qt.IsTrue)
	c.Assert(records, qt.HasLen, 0)
	c.Assert(f.ring.bytes <= 2000, qt.IsTrue)
}

func TestPassiveProcessesDoNotReadTheLogWhileReadersAreActive(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		reader := startFeed(t, log, 1, Options{})
		quiet := memlog.New() // counts only the reads of the other process
		other := startFeed(t, quiet, 2, Options{})
		time.Sleep(time.Second)
		other.SetReader(false)
		time.Sleep(time.Second)
		before := quiet.Reads()
		for range 60 {
			time.Sleep(time.Second)
			other.Heard(reader.Current().Offset(), time.Since(reader.LastRead()))
		}
		c.Assert(quiet.Reads(), qt.Equals, before)
		time.Sleep(2*defaultSilentAfter + time.Second) // no more reports of the reader's reads
		c.Assert(quiet.Reads() > before, qt.IsTrue)
	})
}

func TestPeerReadsBeyondTheStateAreIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		f := New(memlog.New(), Options{}, zap.NewNop())
		f.Heard(5, 0)
		c.Assert(f.Fresh().IsZero(), qt.IsTrue)
		f.Heard(-1, time.Second)
		c.Assert(time.Since(f.Fresh()), qt.Equals, time.Second)
		f.Heard(-1, time.Minute)
		c.Assert(time.Since(f.Fresh()), qt.Equals, time.Second)
	})
}

func TestOneOfManyReadersWritesTheSnapshot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		appendChanges(c, log, 3)
		appends := log.Appends()
		var feeds []*Feed
		for i := range 24 {
			feeds = append(feeds, startFeed(t, log, uint64(i), Options{}))
		}
		time.Sleep(3 * time.Hour)
		written := log.Appends() - appends
		// One at the start and one an hour; sometimes others write one too, within a poll interval of the first.
		c.Assert(written >= 3, qt.IsTrue, qt.Commentf("%d snapshots", written))
		c.Assert(written <= 12, qt.IsTrue, qt.Commentf("%d snapshots", written))
		t.Logf("%d snapshots in 3 hours", written)
		for _, f := range feeds {
			c.Assert(f.Current().Snapshot().Covers >= 2, qt.IsTrue)
			c.Assert(f.Stats().Diverged, qt.Equals, int64(0))
		}
	})
}

func TestSnapshotsOutliveTheRetentionOfAnIdleLog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		appendChanges(c, log, 5)
		log.RetainFor(2 * time.Hour)
		old := startFeed(t, log, 1, Options{})
		time.Sleep(12 * time.Hour)
		b, err := log.Read(t.Context(), logs.ConfigStream, 0, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(b.Oldest > 5, qt.IsTrue)
		fresh := startFeed(t, log, 2, Options{})
		time.Sleep(time.Second)
		c.Assert(fresh.Ready(), qt.IsNil)
		c.Assert(fresh.Current().Revision(), qt.Equals, int64(4))
		c.Assert(fresh.Current().Digest(), qt.Equals, old.Current().Digest())
		c.Assert(fresh.Current().Image(), qt.DeepEquals, old.Current().Image())
	})
}

func TestManyChangesMakeASnapshotDue(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		f := startFeed(t, log, 1, Options{SnapshotRecords: 50})
		appendChanges(c, log, 10)
		time.Sleep(time.Minute)
		c.Assert(f.Stats().Snapshots, qt.Equals, int64(1))
		appendChanges(c, log, 60)
		time.Sleep(time.Minute)
		c.Assert(f.Stats().Snapshots, qt.Equals, int64(2))
	})
}

// logWithSnapshot returns a log with changes 0 to 4, a snapshot of the state at offset covers, and two more changes.
func logWithSnapshot(c *qt.C, covers int64) *memlog.Log {
	log := memlog.New()
	appendChanges(c, log, 5)
	s := stateAt(c, log, covers)
	data, err := New(log, Options{}, zap.NewNop()).snapshotRecord(s, time.Now())
	c.Assert(err, qt.IsNil)
	_, err = log.Append(context.Background(), logs.ConfigStream, [][]byte{data})
	c.Assert(err, qt.IsNil)
	appendChanges(c, log, 2)
	return log
}

func stateAt(c *qt.C, log *memlog.Log, offset int64) *fold.State {
	b, err := log.Read(context.Background(), logs.ConfigStream, 0, 100)
	c.Assert(err, qt.IsNil)
	s := fold.New()
	for i, data := range b.Records[:offset+1] {
		s, _ = s.Apply(int64(i), data)
	}
	return s
}

func TestTrimmedLogIsRestoredFromASnapshot(t *testing.T) {
	for _, test := range []struct {
		covers, oldest int64
		usable         bool
	}{
		{4, 5, true},  // the first record kept is the snapshot
		{2, 3, true},  // records 3 and 4, between the state and its snapshot record, are kept
		{2, 4, false}, // record 3 is needed and trimmed
		{2, 5, false},
		{4, 6, false}, // the snapshot itself is trimmed
	} {
		t.Run(fmt.Sprintf("covers=%d oldest=%d", test.covers, test.oldest), func(t *testing.T) {
			c := qt.New(t)
			log := logWithSnapshot(c, test.covers)
			want := stateAt(c, log, 7)
			log.Trim(logs.ConfigStream, test.oldest)
			f := New(log, Options{}, zap.NewNop())
			err := f.Poll(context.Background())
			if !test.usable {
				c.Assert(err, qt.ErrorMatches, `(?s)the log keeps records from offset \d only, and offset 0 is needed.no usable snapshot.*`)
				c.Assert(f.Ready(), qt.Equals, err)
				c.Assert(f.Current().Offset(), qt.Equals, int64(-1))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(f.Current().Offset(), qt.Equals, int64(7))
			c.Assert(f.Current().Image(), qt.DeepEquals, want.Image())
		})
	}
}

func TestDamagedSnapshotIsSkipped(t *testing.T) {
	c := qt.New(t)
	log := logWithSnapshot(c, 4)
	want := stateAt(c, log, 7)
	r, err := record.New(record.Snapshot, record.NewNonce(0, uuid.New()), "p", 0, nil,
		record.SnapshotBody{Offset: 7, Revision: 6, Digest: "wrong", State: []byte("no gzip")})
	c.Assert(err, qt.IsNil)
	appendRecord(c, log, r)
	log.Trim(logs.ConfigStream, 5)
	f := New(log, Options{}, zap.NewNop())
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	c.Assert(f.Current().Digest(), qt.Equals, want.Digest())
}

func TestDivergedSnapshotIsReported(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	appendChanges(c, log, 2)
	core, seen := observer.New(zap.ErrorLevel)
	f := New(log, Options{}, zap.New(core))
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	r, err := record.New(record.Snapshot, record.NewNonce(0, uuid.New()), "p", 0, nil,
		record.SnapshotBody{Offset: 1, Revision: 1, Digest: "wrong"})
	c.Assert(err, qt.IsNil)
	appendRecord(c, log, r)
	c.Assert(f.Poll(context.Background()), qt.IsNil)
	c.Assert(f.Stats().Diverged, qt.Equals, int64(1))
	c.Assert(seen.Len(), qt.Equals, 1)
}

func TestStartFarBehindUsesASnapshot(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		old := startFeed(t, log, 1, Options{SnapshotRecords: 100})
		for range 10 {
			appendChanges(c, log, 60)
			time.Sleep(time.Minute)
		}
		fresh := New(log, Options{SnapshotRecords: 100}, zap.NewNop())
		c.Assert(fresh.Poll(t.Context()), qt.IsNil)
		c.Assert(fresh.Stats().Restored, qt.Equals, int64(1))
		c.Assert(fresh.Stats().Records < 200, qt.IsTrue)
		c.Assert(fresh.Current().Image(), qt.DeepEquals, old.Current().Image())
	})
}

// badLog answers each read with a batch that does not match the call.
type badLog struct {
	logs.Service
	batch logs.Batch
}

func (l badLog) Read(context.Context, string, int64, int) (logs.Batch, error) { return l.batch, nil }

func TestInconsistentLogAnswersAreErrors(t *testing.T) {
	c := qt.New(t)
	for _, b := range []logs.Batch{
		{First: 0, Oldest: 0, Next: 3}, // no records, although there are some
		{First: 1, Records: [][]byte{nil}, Oldest: 0, Next: 3},
		{First: 4, Oldest: 4, Next: 4}, // all trimmed, and no snapshot
	} {
		f := New(badLog{batch: b}, Options{}, zap.NewNop())
		c.Assert(f.Poll(context.Background()), qt.IsNotNil)
		c.Assert(f.Ready(), qt.IsNotNil)
		c.Assert(f.Current().Offset(), qt.Equals, int64(-1))
	}
}

func TestReadTo(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C) {
		log := memlog.New()
		f := New(log, Options{}, zap.NewNop())
		log.FailReads(3)
		offset := appendChange(c, log, f.Current(), 1)
		c.Assert(f.ReadTo(t.Context(), offset), qt.IsNil)
		log.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := f.ReadTo(ctx, offset+1)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Assert(errors.Is(err, memlog.ErrDown), qt.IsTrue)
	})
}
