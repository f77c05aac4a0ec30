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
	mu      sync.Mutex
	records []platform.Record
	away    bool

	refused string // host whose writes fail
	looked  int    // times at the records
}

// looks is how often the records were looked at.
func (s *memStore) looks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.looked
}

const readStep = 10 * time.Millisecond

var errAway = errors.New("the store is away")

func (s *memStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *memStore) refuse(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = host
}

// from returns the records from an offset.
func (s *memStore) from(offset int64) ([]platform.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looked++
	if s.away {
		return nil, 0, errAway
	}
	return slices.Clone(s.records[offset:]), int64(len(s.records)), nil
}

func (s *memStore) Newest(context.Context, platform.Topic) ([]platform.Record, int64, error) {
	return s.from(0)
}

func (s *memStore) Read(ctx context.Context, _ platform.Topic, from int64, wait time.Duration) ([]platform.Record, int64, error) {
	for waited := time.Duration(0); ; waited += readStep {
		records, next, err := s.from(from)
		if err != nil || len(records) > 0 || waited >= wait {
			return records, next, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(readStep):
		}
	}
}

func (s *memStore) Put(_ context.Context, _ platform.Topic, r platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || s.refused == r.Key {
		return errAway
	}
	s.records = append(s.records, r)
	return nil
}

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
		var crews []*registry.Registry
		for _, m := range members {
			one := registry.New(registry.Options{Self: m, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
			crews = append(crews, one)
			go one.Run(ctx)
		}
		time.Sleep(15 * time.Second)
		for _, one := range crews {
			c.Check(names(one), qt.DeepEquals, []string{"large", "old", "young"})
		}
		crews[2].Leave(ctx)
		time.Sleep(15 * time.Second)
		c.Check(names(crews[0]), qt.DeepEquals, []string{"old", "young"})
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
		one := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 5}, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		go one.Run(ctx)
		time.Sleep(30 * time.Second)
		c.Check(names(one), qt.DeepEquals, []string{"dead", "a"})
		time.Sleep(2 * time.Minute)
		c.Check(names(one), qt.DeepEquals, []string{"a"})
		cancel()
		synctest.Wait()
	})
}

// A store that is away says nothing about the other entries, neither while it is away nor when it is back.
func TestMembersOutliveALongOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		others, stop := context.WithCancel(ctx)
		run := func(ctx context.Context, host string, born int64) *registry.Registry {
			one := registry.New(registry.Options{Self: registry.Member{Host: host, Cores: 0.3, Born: born}, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
			go one.Run(ctx)
			return one
		}
		a := run(ctx, "a", 1)
		run(ctx, "b", 2)
		run(others, "dies", 3)
		time.Sleep(20 * time.Second)
		s.setAway(true)
		for range 30 {
			time.Sleep(10 * time.Second)
			c.Assert(names(a), qt.DeepEquals, []string{"a", "b", "dies"})
		}
		stop()
		s.refuse("b") // for a second longer than others, so that their records come first
		s.setAway(false)
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

// The store may carry out a write long after the process has given up on it.
func TestLateRecordsDoNotBringMembersBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		a := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 2}, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		b := registry.New(registry.Options{Self: registry.Member{Host: "b", Cores: 0.3, Born: 1}, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
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
			for _, one := range names(a) {
				c.Assert(one, qt.Equals, "a")
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

// While the leader tells who leads and how many there are, an entry does not read the records itself.
func TestTheLeaderSavesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &memStore{}
		ctx, cancel := context.WithCancel(t.Context())
		one := registry.New(registry.Options{Self: registry.Member{Host: "a", Cores: 0.3, Born: 5}, Store: s, Answered: wakeup.New(), Now: time.Now, Log: zap.NewNop()})
		go one.Run(ctx)
		time.Sleep(20 * time.Second)
		before := s.looks()
		for range 80 {
			one.Confirm(registry.View{Candidates: []registry.Member{{Host: "first", Cores: 0.8, Born: 9}}, Size: 300, Read: time.Now().Add(-10 * time.Second)})
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(names(one), qt.DeepEquals, []string{"first", "a"})
		c.Check(one.Size(), qt.Equals, 300)
		s.setAway(true)
		time.Sleep(3 * time.Second)
		c.Check(one.Size(), qt.Equals, 300, qt.Commentf("limits are shared by as many when neither leader nor store is heard"))
		s.setAway(false)
		c.Check(s.looks()-before <= 1+int(12*time.Second/readStep), qt.IsTrue, qt.Commentf("%d looks; the read under way ends", s.looks()-before))
		time.Sleep(15 * time.Second)
		c.Check(names(one), qt.DeepEquals, []string{"a"}, qt.Commentf("a leader that is gone is not relied on"))
		cancel()
		synctest.Wait()
	})
}
