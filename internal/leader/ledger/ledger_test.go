package ledger_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/leader/ledger"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/platform"
)

// fakeStore holds one record and counts the calls.
type fakeStore struct {
	mu     sync.Mutex
	value  []byte
	away   bool
	era    int64
	reads  int
	writes int
}

func (s *fakeStore) Newest(context.Context, platform.Topic) ([]platform.Record, platform.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return nil, platform.Position{}, errors.New("away")
	}
	return []platform.Record{{Key: "blocks", Value: s.value}}, platform.Position{Offset: 1}, nil
}

func (s *fakeStore) Put(_ context.Context, _ platform.Topic, r platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.value = r.Value
	return nil
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore brings the record of a copy back.
func (s *fakeStore) restore(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.value = []byte(value)
}

func (s *fakeStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// state returns the record, and how often it was read and written.
func (s *fakeStore) state() (value string, reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.value), s.reads, s.writes
}

// run starts a ledger with a tracker of its own, for a process that leads.
func run(ctx context.Context, s *fakeStore) *crash.Tracker {
	yes := func() bool { return true }
	t := crash.New(crash.Options{Now: time.Now, Leads: yes, HearsOthers: yes})
	go ledger.New(ledger.Options{Store: s, Crash: t, Leads: yes, Now: time.Now, Log: zap.NewNop()}).Run(ctx)
	return t
}

func TestBlocksAreReadOnceAndWrittenWhenTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{away: true}
		first := run(ctx, store)
		first.AddBlocks([]crash.Block{{Parts: []string{"bad"}, First: time.Now(), Until: time.Now().Add(time.Hour),
			Pause: 30 * time.Second}})
		time.Sleep(20 * time.Second)
		_, _, writes := store.state()
		c.Check(writes, qt.Equals, 0, qt.Commentf("a record that was not read must not be replaced"))
		store.setAway(false)
		time.Sleep(20 * time.Second)
		_, before, writes := store.state()
		c.Check(writes, qt.Equals, 1)

		next := run(ctx, store)
		time.Sleep(20 * time.Second)
		_, reads, writes := store.state()
		c.Check(reads-before, qt.Equals, 1)
		c.Check(writes, qt.Equals, 1, qt.Commentf("nothing has changed"))
		wait := next.BlockedFor(0, []string{"bad"})
		c.Check(wait > 0 && wait <= 30*time.Second, qt.IsTrue, qt.Commentf("%v to the next trial, at most its pause", wait))

		next.ObserveBegun([]string{"bad"})
		time.Sleep(time.Second)
		value, _, _ := store.state()
		c.Check(value, qt.Equals, "")
	})
}

// A store that comes back from a copy is told of the blocks again, and brings none back that has ended.
func TestBlocksAreWrittenAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{}
		tracker := run(ctx, store)
		time.Sleep(2 * time.Second)
		empty, _, _ := store.state()
		tracker.AddBlocks([]crash.Block{{Parts: []string{"bad"}, First: time.Now()}})
		time.Sleep(2 * time.Second)
		full, _, _ := store.state()
		store.restore(empty)
		time.Sleep(2 * time.Second)
		again, _, _ := store.state()
		c.Check(again, qt.Contains, "bad")
		tracker.ObserveBegun([]string{"bad"})
		time.Sleep(2 * time.Second)
		store.restore(full)
		time.Sleep(2 * time.Second)
		c.Check(tracker.Blocks(), qt.HasLen, 0)
		again, _, _ = store.state()
		c.Check(again, qt.Equals, "")
	})
}

func TestTwoThatLeadKeepEachOthersBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{}
		one, two := run(ctx, store), run(ctx, store)
		time.Sleep(2 * time.Second)
		for part, tracker := range map[string]*crash.Tracker{"bad": one, "worse": two} {
			tracker.AddBlocks([]crash.Block{{Parts: []string{part}, First: time.Now()}})
			time.Sleep(2 * time.Second)
		}
		value, _, _ := store.state()
		qt.Check(t, value, qt.Contains, "bad")
		qt.Check(t, value, qt.Contains, "worse")
	})
}

func TestProcessesThatSoonFollowDoNotReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store, start := &fakeStore{}, time.Now()
		leads := func() bool { return time.Since(start) < time.Second }
		tracker := crash.New(crash.Options{Now: time.Now, Leads: leads, HearsOthers: leads})
		go ledger.New(ledger.Options{Store: store, Crash: tracker, Leads: leads, Now: time.Now, Log: zap.NewNop()}).Run(ctx)
		time.Sleep(10 * time.Second)
		_, reads, _ := store.state()
		qt.Check(t, reads, qt.Equals, 0)
	})
}

func TestUnreadableBlocksAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &fakeStore{value: []byte(`{"parts":`)}
		tracker := run(ctx, store)
		time.Sleep(2 * time.Second)
		qt.Check(t, tracker.Blocks(), qt.HasLen, 0)
		tracker.AddBlocks([]crash.Block{{Parts: []string{"bad"}, First: time.Now()}})
		time.Sleep(time.Second)
		value, _, _ := store.state()
		qt.Check(t, value, qt.Contains, "bad")
	})
}
