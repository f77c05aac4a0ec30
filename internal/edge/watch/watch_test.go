package watch_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	drainWithin = 2 * time.Second
	rulesWithin = 2 * time.Second
)

// seen is a configuration that the leader read at a time.
func seen(version int64, read time.Time) watch.Sighting {
	return watch.Sighting{Version: version, Offset: -1, Read: read}
}

// memStore is a store in memory that can be away.
type memStore struct {
	mu    sync.Mutex
	logs  map[platform.Topic][]platform.Record
	first int64
	down  bool
	reads int
	sent  int // bytes of records

	leaving hosts.Lifetime
	awaits  bool // a leader may be about to tell

	silent atomic.Bool // snapshots are not answered
}

func (s *memStore) put(topic platform.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[topic] = append(s.logs[topic], platform.Record{Key: key, Value: []byte(value), Offset: int64(len(s.logs[topic]))})
}

func (s *memStore) Newest(ctx context.Context, topic platform.Topic) ([]platform.Record, int64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, context.DeadlineExceeded
	}
	newest := map[string]platform.Record{}
	for _, r := range s.logs[topic] {
		newest[r.Key] = r
	}
	var out []platform.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, int64(len(s.logs[topic])), nil
}

func (s *memStore) Read(ctx context.Context, topic platform.Topic, from int64, wait time.Duration) ([]platform.Record, int64, error) {
	const step = 20 * time.Millisecond
	for begun := time.Now(); ; time.Sleep(step) {
		records, end, err := s.look(topic, from)
		if err != nil || len(records) > 0 || time.Since(begun) >= wait || ctx.Err() != nil {
			return records, end, errors.Join(err, ctx.Err())
		}
	}
}

// look returns the records from an offset.
func (s *memStore) look(topic platform.Topic, from int64) ([]platform.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return nil, 0, context.DeadlineExceeded
	case topic == platform.TopicUpstreams && from < s.first:
		return nil, 0, platform.ErrTrimmed
	}
	for _, r := range s.logs[topic][from:] {
		s.sent += len(r.Value)
	}
	return slices.Clone(s.logs[topic][from:]), int64(len(s.logs[topic])), nil
}

// set changes whether the store is away, and from which offset it keeps records of upstreams.
func (s *memStore) set(down bool, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.first = down, first
}

// leave makes an upstream say that it leaves.
func (s *memStore) leave(l hosts.Lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = l
}

func (s *memStore) leaves(l hosts.Lifetime) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l == s.leaving
}

// sentBytes is how much of records was sent.
func (s *memStore) sentBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// looks is how often the log was looked at.
func (s *memStore) looks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func entry(state string) string {
	return fmt.Sprintf(`{"service":"p","address":"10.0.0.1:80","zone":"z","slots":1,"state":%q,"born":1}`, state)
}

func testStats(t *testing.T) *stats.Stats {
	m, err := meter.New(meter.Process{})
	qt.Assert(t, err, qt.IsNil)
	return stats.New(m, func() stats.State { return stats.State{} })
}

// play runs a watch in virtual time, after the store has its first records.
func play(t *testing.T, f func(c *qt.C, s *memStore, w *watch.Watch)) {
	playFrom(t, &memStore{logs: map[platform.Topic][]platform.Record{}}, time.Second, f)
}

// playFrom runs a watch at a store in virtual time, and goes on after a time.
func playFrom(t *testing.T, s *memStore, after time.Duration, f func(c *qt.C, s *memStore, w *watch.Watch)) {
	synctest.Test(t, func(t *testing.T) {
		s.put(platform.TopicRules, platform.RulesKey, `{"version":5}`)
		s.put(platform.TopicUpstreams, "u1", entry("ready"))
		s.put(platform.TopicUpstreams, "u2", entry("ready"))
		w := watch.New(watch.Options{
			Store: s, Answered: wakeup.New(), DrainWithin: func() time.Duration { return drainWithin }, RulesWithin: func() time.Duration { return rulesWithin },
			Awaits: func() bool { return s.awaits }, Leaves: s.leaves, Now: time.Now, Log: zap.NewNop(),
			Stats: testStats(t),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		time.Sleep(after)
		f(qt.New(t), s, w)
		cancel()
		<-done
	})
}

func TestChangesAreKnownInTime(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		s.put(platform.TopicUpstreams, "u1", entry("draining"))
		s.put(platform.TopicUpstreams, "u2", "")
		time.Sleep(drainWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(9))
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 0)
		_, known := w.Hosts().Get("u1")
		c.Check(known, qt.IsTrue)
	})
}

func TestOlderAndUnreadableConfigurationsAreIgnored(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		for _, bad := range []string{`{"version":4}`, `{"version":6`, `{"version":7,"routes":[{"kind":"odd"}]}`} {
			s.put(platform.TopicRules, platform.RulesKey, bad)
		}
		time.Sleep(drainWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
	})
}

func TestEntriesOfOtherWritersNameNoUpstream(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		for i, bad := range []string{`{}`, `nonsense`, `{"service":"p","address":7}`, `{"service":"p","address":"10.0.0.1:80","state":"odd"}`} {
			s.put(platform.TopicUpstreams, fmt.Sprint("bad", i), bad)
		}
		time.Sleep(drainWithin)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
	})
}

func TestTrimmedRecordsAreReadAsASnapshot(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.set(true, 0)
		time.Sleep(time.Second)
		s.put(platform.TopicUpstreams, "u1", "")
		s.put(platform.TopicUpstreams, "u3", entry("ready"))
		s.set(false, 4)
		time.Sleep(2 * time.Second)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		c.Check(w.Hosts().TakesWork("u3"), qt.IsTrue)
	})
}

func TestLapsedEntriesMayComeBackAfterAnOutage(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.set(true, 0)
		time.Sleep(6 * time.Second)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2, qt.Commentf("traffic goes on while the store is away"))
		s.put(platform.TopicUpstreams, "u1", "")
		s.put(platform.TopicUpstreams, "u2", "")
		s.set(false, 0)
		time.Sleep(1500 * time.Millisecond)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		s.put(platform.TopicUpstreams, "u1", entry("ready"))
		time.Sleep(3 * time.Second)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsFalse, qt.Commentf("missing for longer than that is gone"))
	})
}

func TestUpstreamsThatLeaveAfterAnOutageAreGoneAtOnce(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.set(true, 0)
		time.Sleep(6 * time.Second)
		s.put(platform.TopicUpstreams, "u2", "")
		s.set(false, 0)
		time.Sleep(time.Second)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsTrue, qt.Commentf("it may have lapsed"))
		c.Check(w.SharedHosts().Read().IsZero(), qt.IsTrue, qt.Commentf("others must not rely on that"))
		s.put(platform.TopicUpstreams, "u1", "")
		time.Sleep(drainWithin / 2)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		time.Sleep(drainWithin)
		c.Check(w.SharedHosts().Read().IsZero(), qt.IsFalse)
	})
}

func TestLeaderSavesReads(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		before := s.looks()
		for range 40 {
			w.Confirm(seen(5, time.Now()), w.Hosts().WithRead(time.Now().Add(-500*time.Millisecond)))
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(s.looks()-before < 200, qt.IsTrue, qt.Commentf("%d looks at the log", s.looks()-before))
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		w.Confirm(seen(9, time.Now()), nil)
		time.Sleep(200 * time.Millisecond)
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("another version at the leader is read at once"))
	})
}

func TestRulesOfTheLeaderCountWhenTheStoreIsAway(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.set(true, 0)
		w.Adopt(9, []byte(`{"version":9}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(9))
		w.Adopt(8, []byte(`{"version":8}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("an older one does not"))
	})
}

func TestLeaderWithoutTheStoreSaysSo(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		c.Check(time.Since(w.RulesRead()) < 2*time.Second, qt.IsTrue)
		s.set(true, 0)
		time.Sleep(time.Second)
		c.Check(w.RulesRead().IsZero(), qt.IsTrue)
	})
}

func TestSilentLeaderIsNotReliedOnForLong(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		for range 6 { // until this process has stopped reading for itself
			w.Confirm(seen(5, time.Now()), nil)
			time.Sleep(250 * time.Millisecond)
		}
		read := time.Now() // the leader's last read; what follows it does not see
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		for range 8 {
			w.Confirm(seen(5, read), nil)
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("2 s after the change"))
	})
}

func TestOlderListsOfTheLeaderAreIgnored(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		old := w.Hosts().WithRead(time.Now())
		s.put(platform.TopicUpstreams, "u1", entry("draining"))
		time.Sleep(drainWithin)
		w.Confirm(seen(5, time.Now()), old)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		w.Confirm(seen(5, time.Now()), hosts.New(nil, time.Now()))
		c.Check(w.Hosts().TakesWork("u2"), qt.IsFalse, qt.Commentf("a newer list counts"))
	})
}

// In a storm of versions a follower reads the newest now and then, and none of those in between.
func TestFollowersReadOnlyTheNewestOfManyVersions(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		const versions, gap = 40, 100 * time.Millisecond
		begun, sent := s.looks(), s.sentBytes()
		size := 0
		for v := range int64(versions) {
			body := fmt.Sprintf(`{"version":%d}`, 10+v)
			size = len(body)
			s.put(platform.TopicRules, platform.RulesKey, body)
			w.Confirm(watch.Sighting{Version: 10 + v, Offset: 1 + v, Read: time.Now()}, w.Hosts().WithRead(time.Now()))
			time.Sleep(gap)
			c.Check(10+v-w.Rules().Version() <= int64(rulesWithin/gap), qt.IsTrue, qt.Commentf("%d at %d", w.Rules().Version(), 10+v))
		}
		w.Confirm(watch.Sighting{Version: 9 + versions, Offset: versions, Read: time.Now()}, w.Hosts().WithRead(time.Now()))
		time.Sleep(rulesWithin / 2)
		c.Check(w.Rules().Version(), qt.Equals, int64(9+versions))
		// A read at a quarter of the bound, and one for each before the leader is known.
		most := 2 + int(versions*gap/(rulesWithin/4))
		c.Check((s.sentBytes()-sent)/size <= most, qt.IsTrue, qt.Commentf("%d bodies in %d looks, %d at most", (s.sentBytes()-sent)/size, s.looks()-begun, most))
	})
}

func TestVersionsThatTheStoreWithholdsAreLacked(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.set(true, 0)
		c.Check(w.Lacks(seen(5, time.Time{})), qt.IsFalse)
		c.Check(w.Lacks(seen(9, time.Time{})), qt.IsFalse, qt.Commentf("the store gets a chance first"))
		time.Sleep(rulesWithin / 2)
		c.Check(w.Lacks(seen(9, time.Time{})), qt.IsTrue)
		w.Adopt(9, []byte(`{"version":9}`))
		c.Check(w.Lacks(seen(9, time.Time{})), qt.IsFalse)
		c.Check(w.Lacks(seen(10, time.Time{})), qt.IsFalse)
	})
}

func TestUpstreamsThatSayThatTheyLeaveTakeNoWork(t *testing.T) {
	play(t, func(c *qt.C, s *memStore, w *watch.Watch) {
		s.leave(hosts.Lifetime{ID: "u1", StartedMs: 1})
		w.Refresh()
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("at once"))
		s.put(platform.TopicUpstreams, "u1", entry("ready"))
		w.Confirm(seen(5, time.Now()), hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", State: hosts.Ready, StartedMs: 1}}, time.Now()))
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("whatever the leader's list says"))
		time.Sleep(drainWithin)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("or the store's"))
	})
}

// A process that starts takes over what the leader has just read, and reads nothing itself.
func TestStartedProcessesHearFromTheLeader(t *testing.T) {
	s := &memStore{logs: map[platform.Topic][]platform.Record{}, awaits: true}
	playFrom(t, s, 100*time.Millisecond, func(c *qt.C, s *memStore, w *watch.Watch) {
		fresh := seen(5, time.Now())
		c.Check(w.Lacks(fresh), qt.IsTrue, qt.Commentf("asked for at once"))
		w.Adopt(5, []byte(`{"version":5}`))
		for range 8 {
			w.Confirm(seen(5, time.Now()), hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", State: hosts.Ready}}, time.Now()))
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
		c.Check(s.looks(), qt.Equals, 0)
	})
}

// A leader that lost the store may know an older configuration, with keys that were withdrawn since.
func TestStartedProcessesDoNotWaitForAStaleLeader(t *testing.T) {
	s := &memStore{logs: map[platform.Topic][]platform.Record{}, awaits: true}
	playFrom(t, s, 100*time.Millisecond, func(c *qt.C, s *memStore, w *watch.Watch) {
		stale := seen(4, time.Now().Add(-time.Minute))
		w.Confirm(stale, nil)
		c.Check(w.Lacks(stale), qt.IsFalse)
		time.Sleep(200 * time.Millisecond)
		c.Check(w.Rules().Version(), qt.Equals, int64(5), qt.Commentf("the store's"))
		w.Adopt(4, []byte(`{"version":4}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
	})
}

// Processes that start while the store is silent know what they need soon after it is back, whenever that is.
func TestStartedProcessesSoonSeeThatTheStoreIsBack(t *testing.T) {
	for away := range 8 {
		s := &memStore{logs: map[platform.Topic][]platform.Record{}}
		s.silent.Store(true)
		playFrom(t, s, 5*time.Second+time.Duration(away)*350*time.Millisecond, func(c *qt.C, s *memStore, w *watch.Watch) {
			s.silent.Store(false)
			time.Sleep(1500 * time.Millisecond)
			c.Check(w.Rules().Version(), qt.Equals, int64(5), qt.Commentf("%d", away))
			c.Check(w.Hosts().Ready("p"), qt.HasLen, 2, qt.Commentf("%d", away))
		})
	}
}
