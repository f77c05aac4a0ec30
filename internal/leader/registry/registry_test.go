package registry_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/platform"
)

// memStore holds the member records of several entries.
type memStore struct {
	era         int64
	mu          sync.Mutex
	records     []platform.Record
	unreachable bool

	refused string // host whose writes fail
	reads   int    // reads of the records
}

// readCount returns how often the records were read.
func (s *memStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// readPoll is how often a read that waits for new records checks for them.
const readPoll = 10 * time.Millisecond

var errUnreachable = errors.New("the store has gone away")

func (s *memStore) setUnreachable(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = away
}

// restore brings the store back from a copy with so many records; the era rises.
func (s *memStore) restore(records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records = s.records[:records]
}

func (s *memStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// refuse makes the writes of a host fail, of none if it is empty.
func (s *memStore) refuse(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = host
}

// from returns the records from an offset.
func (s *memStore) from(offset int64) ([]platform.Record, platform.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unreachable {
		return nil, platform.Position{}, errUnreachable
	}
	if offset > int64(len(s.records)) {
		return nil, platform.Position{}, platform.ErrTrimmed
	}
	return slices.Clone(s.records[offset:]), platform.Position{Era: s.era, Offset: int64(len(s.records))}, nil
}

func (s *memStore) Newest(context.Context, platform.Topic) ([]platform.Record, platform.Position, error) {
	return s.from(0)
}

func (s *memStore) Read(ctx context.Context, _ platform.Topic, from platform.Position, wait time.Duration) ([]platform.Record,
	platform.Position, error) {
	for waited := time.Duration(0); ; waited += readPoll {
		if from.Era != s.Era() {
			return nil, platform.Position{}, platform.ErrRestored
		}
		records, next, err := s.from(from.Offset)
		if err != nil || len(records) > 0 || waited >= wait {
			return records, next, err
		}
		select {
		case <-ctx.Done():
			return nil, platform.Position{}, ctx.Err()
		case <-time.After(readPoll):
		}
	}
}

func (s *memStore) Put(_ context.Context, _ platform.Topic, r platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable || s.refused == r.Key {
		return errUnreachable
	}
	s.records = append(s.records, r)
	return nil
}

// names lists the hosts of the members that a registry knows, in its order.
func names(c *registry.Registry) []string {
	var out []string
	for _, m := range c.Members() {
		out = append(out, m.Host)
	}
	return out
}

func TestEntriesAgreeOnTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		members := []registry.Member{
			{Host: "young", Cores: 0.3, Born: 30}, {Host: "old", Cores: 0.3, Born: 10}, {Host: "large", Cores: 0.8, Born: 40},
		}
		var registries []*registry.Registry
		for _, m := range members {
			r := registry.New(registry.Options{Self: m, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
			registries = append(registries, r)
			go r.Run(ctx)
		}
		time.Sleep(15 * time.Second)
		for _, r := range registries {
			c.Check(names(r), qt.DeepEquals, []string{"large", "old", "young"})
		}
		registries[2].Leave(ctx)
		time.Sleep(15 * time.Second)
		c.Check(names(registries[0]), qt.DeepEquals, []string{"old", "young"})
		cancel()
		synctest.Wait()
	})
}

// A store that comes back from a copy without the records of members is told of them again, and they stay listed.
func TestMembersOutliveARestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		var registries []*registry.Registry
		for i, host := range []string{"a", "b", "c"} {
			r := registry.New(registry.Options{Self: registry.Member{Host: host, Born: int64(i)}, Store: s,
				Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
			registries = append(registries, r)
			go r.Run(ctx)
		}
		time.Sleep(15 * time.Second)
		s.restore(0)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			for _, r := range registries {
				c.Check(names(r), qt.DeepEquals, []string{"a", "b", "c"})
			}
		}
		late := registry.New(registry.Options{Self: registry.Member{Host: "late", Born: 9}, Store: s, Answered: wakeup.New(),
			Now: time.Now, Log: zap.NewNop()})
		go late.Run(ctx)
		time.Sleep(10 * time.Second)
		c.Check(names(late), qt.DeepEquals, []string{"a", "b", "c", "late"})
		cancel()
		synctest.Wait()
	})
}

func TestRecordsThatAreNotRenewedExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		dead, err := json.Marshal(registry.Member{Host: "dead", Cores: 0.3, Born: 1})
		c.Assert(err, qt.IsNil)
		s.records = []platform.Record{{Key: "dead", Value: dead}, {Key: "odd", Value: []byte("{")}}
		ctx, cancel := context.WithCancel(t.Context())
		r := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 5}, Store: s,
			Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		go r.Run(ctx)
		time.Sleep(30 * time.Second)
		c.Check(names(r), qt.DeepEquals, []string{"dead", "a"})
		time.Sleep(2 * time.Minute)
		c.Check(names(r), qt.DeepEquals, []string{"a"})
		cancel()
		synctest.Wait()
	})
}

// An outage of the store must not make members expire, neither while it lasts nor when the store is back and their
// records were not renewed yet.
func TestMembersOutliveALongOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		others, stop := context.WithCancel(ctx)
		run := func(ctx context.Context, host string, born int64) *registry.Registry {
			r := registry.New(registry.Options{Self: registry.Member{Host: host, Cores: 0.3, Born: born}, Store: s,
				Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
			go r.Run(ctx)
			return r
		}
		a := run(ctx, "a", 1)
		run(ctx, "b", 2)
		run(others, "dies", 3)
		time.Sleep(20 * time.Second)
		s.setUnreachable(true)
		for range 30 {
			time.Sleep(10 * time.Second)
			c.Assert(names(a), qt.DeepEquals, []string{"a", "b", "dies"})
		}
		stop()
		s.refuse("b") // for a second longer, so that the records of the others are renewed first
		s.setUnreachable(false)
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(names(a)[:2], qt.DeepEquals, []string{"a", "b"})
			if i == 10 {
				s.refuse("")
			}
		}
		time.Sleep(2 * time.Minute)
		c.Check(names(a), qt.DeepEquals, []string{"a", "b"})
		cancel()
		synctest.Wait()
	})
}

// A write that the process has given up on may reach the store after its record was deleted, and must not list the
// member again.
func TestLateRecordsDoNotBringMembersBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		a := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 2}, Store: s,
			Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		b := registry.New(registry.Options{Self: registry.Member{Host: "b", Cores: 0.3, Born: 1}, Store: s,
			Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		go a.Run(ctx)
		go b.Run(ctx)
		time.Sleep(15 * time.Second)
		c.Assert(names(a), qt.DeepEquals, []string{"b", "a"})
		b.Leave(ctx)
		time.Sleep(time.Second)
		late, err := json.Marshal(registry.Member{Host: "b", Cores: 0.3, Born: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(s.Put(ctx, platform.TopicMembers, platform.Record{Key: "b", Value: late}), qt.IsNil)
		time.Sleep(14 * time.Second)
		for range 60 {
			time.Sleep(time.Second)
			for _, host := range names(a) {
				c.Assert(host, qt.Equals, "a")
			}
		}
		again, err := json.Marshal(registry.Member{Host: "b", Cores: 0.3, Born: 3})
		c.Assert(err, qt.IsNil)
		c.Assert(s.Put(ctx, platform.TopicMembers, platform.Record{Key: "b", Value: again}), qt.IsNil)
		time.Sleep(15 * time.Second)
		c.Check(names(a), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("another lifetime of the host"))
		cancel()
		synctest.Wait()
	})
}

// While the leader sends its view of the members, an entry must not read the records itself.
func TestLeaderViewReplacesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		r := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 5}, Store: s,
			Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		go r.Run(ctx)
		time.Sleep(20 * time.Second)
		before := s.readCount()
		for range 80 {
			r.Confirm(registry.View{Candidates: []registry.Member{{Host: "first", Cores: 0.8, Born: 9}}, Size: 300,
				Read: time.Now().Add(-10 * time.Second)})
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(names(r), qt.DeepEquals, []string{"first", "a"})
		c.Check(r.Size(), qt.Equals, 300)
		s.setUnreachable(true)
		time.Sleep(3 * time.Second)
		c.Check(r.Size(), qt.Equals, 300,
			qt.Commentf("limits are shared by this size, which must stay while neither leader nor store is heard"))
		s.setUnreachable(false)
		c.Check(s.readCount()-before <= 1+int(12*time.Second/readPoll), qt.IsTrue,
			qt.Commentf("%d reads; only the read in flight may go on", s.readCount()-before))
		time.Sleep(15 * time.Second)
		c.Check(names(r), qt.DeepEquals, []string{"a"}, qt.Commentf("the view of a lost leader must expire"))
		cancel()
		synctest.Wait()
	})
}
