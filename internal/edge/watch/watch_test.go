package watch_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
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

// revisionAt returns a version of the configuration that the leader read at the given time.
func revisionAt(version int64, read time.Time) watch.Revision {
	return watch.Revision{Version: version, Offset: -1, ConfirmedAt: read}
}

// memStore is an in-memory store that can fail. It also stands for what a watcher learns from other parts of the entry:
// leaving and awaits.
type memStore struct {
	mu    sync.Mutex
	logs  map[platform.Topic][]platform.Record
	era   int64
	first int64 // offset of the first record of the upstreams topic that is not trimmed
	down  bool  // every call fails
	reads int   // calls of readFrom, for any topic
	sent  int   // bytes of record values that reads returned, snapshots not included

	leaving hosts.Lifetime // the upstream that has announced that it is leaving
	awaits  bool           // the leader is about to send its state

	silent atomic.Bool  // snapshots time out
	delay  atomic.Int64 // ns that each answer takes after the store has read what is in it
}

func (s *memStore) put(topic platform.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[topic] = append(s.logs[topic], platform.Record{Key: key, Value: []byte(value),
		Offset: int64(len(s.logs[topic]))})
}

func (s *memStore) Newest(ctx context.Context, topic platform.Topic) ([]platform.Record, platform.Position, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, platform.Position{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, platform.Position{}, context.DeadlineExceeded
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
	return out, s.end(topic), nil
}

func (s *memStore) Read(ctx context.Context, topic platform.Topic, from platform.Position, wait time.Duration) (
	[]platform.Record, platform.Position, error) {
	const step = 20 * time.Millisecond
	for begun := time.Now(); ; time.Sleep(step) {
		records, end, err := s.readFrom(topic, from)
		time.Sleep(time.Duration(s.delay.Load()))
		if err != nil || len(records) > 0 || time.Since(begun) >= wait || ctx.Err() != nil {
			return records, end, errors.Join(err, ctx.Err())
		}
	}
}

// end returns the position after the last record of a topic. The caller holds mu.
func (s *memStore) end(topic platform.Topic) platform.Position {
	return platform.Position{Era: s.era, Offset: int64(len(s.logs[topic]))}
}

// readFrom returns the records from an offset on.
func (s *memStore) readFrom(topic platform.Topic, from platform.Position) ([]platform.Record, platform.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch {
	case s.down:
		return nil, platform.Position{}, context.DeadlineExceeded
	case from.Era != s.era:
		return nil, platform.Position{}, platform.ErrRestored
	case topic == platform.TopicUpstreams && from.Offset < s.first, from.Offset > int64(len(s.logs[topic])):
		return nil, platform.Position{}, &platform.TrimmedError{First: s.first}
	}
	for _, r := range s.logs[topic][from.Offset:] {
		s.sent += len(r.Value)
	}
	return slices.Clone(s.logs[topic][from.Offset:]), s.end(topic), nil
}

// setState sets whether reads fail, and the first offset of the upstreams topic that is not trimmed.
func (s *memStore) setState(down bool, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.first = down, first
}

// setLeaving makes an upstream announce that it is leaving.
func (s *memStore) setLeaving(l hosts.Lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = l
}

func (s *memStore) isLeaving(l hosts.Lifetime) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l == s.leaving
}

// sentBytes returns the bytes of record values that reads returned, snapshots not included.
func (s *memStore) sentBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// readCount returns how often topics were read, not counting snapshots. A read that waits counts once for each poll.
func (s *memStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// upstreamEntry returns the list's entry of an upstream of pool p in the given state.
func upstreamEntry(state string) string {
	return fmt.Sprintf(`{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":%q,"born":1}`, state)
}

func testStats(t *testing.T) *stats.Stats {
	m, err := meter.New(meter.Process{})
	qt.Assert(t, err, qt.IsNil)
	return stats.New(m, func() stats.Gauges { return stats.Gauges{} })
}

// runWatcher runs f one second of virtual time after the start of a watcher.
func runWatcher(t *testing.T, f func(c *qt.C, s *memStore, w *watch.Watcher)) {
	runWatcherFor(t, &memStore{logs: map[platform.Topic][]platform.Record{}}, time.Second, f)
}

// runWatcherFor runs f with a watcher of the store that has run for warmUp in virtual time.
func runWatcherFor(t *testing.T, s *memStore, warmUp time.Duration, f func(c *qt.C, s *memStore, w *watch.Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		s.put(platform.TopicRules, platform.RulesKey, `{"version":5}`)
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("ready"))
		s.put(platform.TopicUpstreams, "u2", upstreamEntry("ready"))
		w := watch.New(watch.Options{
			Store: s, Answered: wakeup.New(), DrainWithin: func() time.Duration { return drainWithin },
			ReportInterval: func() time.Duration { return time.Second },
			RulesWithin:    func() time.Duration { return rulesWithin },
			EvacuateWithin: func() time.Duration { return 5 * time.Second },
			AwaitsLeader:   func() bool { return s.awaits }, IsLeaving: s.isLeaving, Now: time.Now, Log: zap.NewNop(),
			Stats: testStats(t),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		time.Sleep(warmUp)
		f(qt.New(t), s, w)
		cancel()
		<-done
	})
}

func TestStoreChangesAreAppliedInTime(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("draining"))
		s.put(platform.TopicUpstreams, "u2", "")
		time.Sleep(drainWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(9))
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 0)
		_, known := w.Hosts().Get("u1")
		c.Check(known, qt.IsTrue)
	})
}

func TestOlderAndUnreadableConfigurationsAreIgnored(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		for _, bad := range []string{`{"version":4}`, `{"version":6`, `{"version":7,"routes":[{"kind":"odd"}]}`} {
			s.put(platform.TopicRules, platform.RulesKey, bad)
		}
		time.Sleep(drainWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
	})
}

// Another writer leaves odd entries among those of the upstreams, also in place of one of them. The others hold, and the
// list is followed on.
func TestOddEntriesDoNotStopTheList(t *testing.T) {
	good := upstreamEntry("ready")
	odd := []string{`{}`, `nonsense`, `{"service":"p","address":7}`, "\xff\xfe", strings.Repeat("[", 100_000),
		strings.Replace(good, `"ready"`, `"odd"`, 1), strings.Replace(good, ":80", ":65536", 1),
		strings.Replace(good, `"slots":1`, `"slots":1e999`, 1), strings.Replace(good, `"born":1`, `"born":1e308`, 1),
		strings.Replace(good, `{`, `{"models":`+strings.Repeat("[", 50_000)+strings.Repeat("]", 50_000)+`,`, 1)}
	for _, trimmed := range []bool{false, true} { // read as records and as a snapshot
		runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
			s.setState(trimmed, 0)
			for i, value := range odd {
				s.put(platform.TopicUpstreams, fmt.Sprint("odd", i), value)
				s.put(platform.TopicUpstreams, "u1", value)
			}
			s.put(platform.TopicUpstreams, "\xff", good)
			s.put(platform.TopicUpstreams, "u3", good)
			if trimmed {
				time.Sleep(time.Second)
				s.setState(false, 4)
			}
			time.Sleep(2 * drainWithin)
			c.Check(w.Hosts().All(), qt.HasLen, 2)
			c.Check(w.Hosts().TakesWork("u2") && w.Hosts().TakesWork("u3"), qt.IsTrue)
			s.put(platform.TopicUpstreams, "u1", good)
			time.Sleep(drainWithin)
			c.Check(w.Hosts().Ready("p"), qt.HasLen, 3)
		})
	}
}

func TestTrimmedTopicIsReadAsASnapshot(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		time.Sleep(time.Second)
		s.put(platform.TopicUpstreams, "u1", "")
		s.put(platform.TopicUpstreams, "u3", upstreamEntry("ready"))
		s.setState(false, 4)
		time.Sleep(2 * time.Second)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		c.Check(w.Hosts().TakesWork("u3"), qt.IsTrue)
	})
}

func TestExpiredEntriesAreKeptForAGraceAfterAnOutage(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		time.Sleep(6 * time.Second)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2, qt.Commentf("traffic goes on while the store is away"))
		s.put(platform.TopicUpstreams, "u1", "")
		s.put(platform.TopicUpstreams, "u2", "")
		s.setState(false, 0)
		time.Sleep(1500 * time.Millisecond)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 2)
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("ready"))
		time.Sleep(3 * time.Second)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsFalse, qt.Commentf("gone, as it is missing for longer than the grace"))
	})
}

// Only the outage of the store itself lets entries expire, and others that read it all the while show that it had none.
func TestUpstreamsThatLeftInAnOutageOfOneEntryAreDroppedAtOnce(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			w.ObserveRead(time.Now())
		}
		s.put(platform.TopicUpstreams, "u2", "")
		s.setState(false, 0)
		time.Sleep(time.Second)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsFalse)
		c.Check(w.SharedHosts().Read().IsZero(), qt.IsFalse)
	})
}

func TestExpiredEntriesAreKeptIfOtherEntriesHadAnOutageToo(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		time.Sleep(6 * time.Second)
		w.ObserveRead(time.Now())
		s.put(platform.TopicUpstreams, "u2", "")
		s.setState(false, 0)
		time.Sleep(time.Second)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsTrue, qt.Commentf("others read the store for less than the grace"))
	})
}

func TestUpstreamsRemovedAfterAnOutageAreDroppedAtOnce(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		time.Sleep(6 * time.Second)
		s.put(platform.TopicUpstreams, "u2", "")
		s.setState(false, 0)
		time.Sleep(time.Second)
		c.Check(w.Hosts().TakesWork("u2"), qt.IsTrue, qt.Commentf("it may have expired"))
		c.Check(w.SharedHosts().Read().IsZero(), qt.IsTrue, qt.Commentf("other entries must not rely on the list"))
		s.put(platform.TopicUpstreams, "u1", "")
		time.Sleep(drainWithin / 2)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		time.Sleep(drainWithin)
		c.Check(w.SharedHosts().Read().IsZero(), qt.IsFalse)
	})
}

// An answer that has waited, as for a process that stood still, says nothing of the time in which it waited.
func TestListsNameAllThatWasListedWhenTheyWereRead(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.delay.Store(int64(700 * time.Millisecond))
		time.Sleep(2 * time.Second)
		s.put(platform.TopicUpstreams, "u3", upstreamEntry("ready"))
		listed, known := time.Now(), false
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			table := w.Hosts()
			_, known = table.Get("u3")
			c.Assert(known || !table.Read().After(listed), qt.IsTrue, qt.Commentf("%v after it was listed", time.Since(listed)))
		}
		c.Check(known, qt.IsTrue)
	})
}

func TestLeaderUpdatesReplaceReads(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		before := s.readCount()
		for range 40 {
			w.Confirm(revisionAt(5, time.Now()), w.Hosts().WithRead(time.Now().Add(-500*time.Millisecond)))
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(s.readCount()-before < 200, qt.IsTrue, qt.Commentf("%d reads of the store", s.readCount()-before))
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		w.Confirm(revisionAt(9, time.Now()), nil)
		time.Sleep(200 * time.Millisecond)
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("a new version at the leader is read at once"))
	})
}

func TestLeaderConfigurationAppliesDuringAnOutage(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		w.Adopt(9, []byte(`{"version":9}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(9))
		w.Adopt(8, []byte(`{"version":8}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("an older version is ignored"))
	})
}

func TestFailedReadsClearTheTimeOfTheConfiguration(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		c.Check(time.Since(w.RulesReadAt()) < 2*time.Second, qt.IsTrue)
		s.setState(true, 0)
		time.Sleep(time.Second)
		c.Check(w.RulesReadAt().IsZero(), qt.IsTrue)
	})
}

func TestStaleLeaderIsNotReliedOnForLong(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		for range 6 { // until this process has stopped reading the store
			w.Confirm(revisionAt(5, time.Now()), nil)
			time.Sleep(250 * time.Millisecond)
		}
		read := time.Now() // last read of the leader, which misses the change below
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		for range 8 {
			w.Confirm(revisionAt(5, read), nil)
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(w.Rules().Version(), qt.Equals, int64(9), qt.Commentf("2 s after the change"))
	})
}

func TestOlderListsFromTheLeaderAreIgnored(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		old := w.Hosts().WithRead(time.Now())
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("draining"))
		time.Sleep(drainWithin)
		w.Confirm(revisionAt(5, time.Now()), old)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		w.Confirm(revisionAt(5, time.Now()), hosts.New(nil, time.Now()))
		c.Check(w.Hosts().TakesWork("u2"), qt.IsFalse, qt.Commentf("a newer list is taken"))
	})
}

// While versions are written every 100 ms, a follower reads the newest one at intervals and skips those in between.
func TestFollowersReadOnlyTheNewestOfManyVersions(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		const versions, gap = 40, 100 * time.Millisecond
		begun, sent := s.readCount(), s.sentBytes()
		size := 0
		for v := range int64(versions) {
			body := fmt.Sprintf(`{"version":%d}`, 10+v)
			size = len(body)
			s.put(platform.TopicRules, platform.RulesKey, body)
			w.Confirm(watch.Revision{Version: 10 + v, Offset: 1 + v, ConfirmedAt: time.Now()},
				w.Hosts().WithRead(time.Now()))
			time.Sleep(gap)
			c.Check(10+v-w.Rules().Version() <= int64(rulesWithin/gap), qt.IsTrue,
				qt.Commentf("version %d is in force at version %d of the store", w.Rules().Version(), 10+v))
		}
		w.Confirm(watch.Revision{Version: 9 + versions, Offset: versions, ConfirmedAt: time.Now()},
			w.Hosts().WithRead(time.Now()))
		time.Sleep(rulesWithin / 2)
		c.Check(w.Rules().Version(), qt.Equals, int64(9+versions))
		// One read per quarter of rulesWithin, and at most two before the first update of the leader.
		maxBodies := 2 + int(versions*gap/(rulesWithin/4))
		c.Check((s.sentBytes()-sent)/size <= maxBodies, qt.IsTrue,
			qt.Commentf("%d bodies in %d reads, %d at most", (s.sentBytes()-sent)/size, s.readCount()-begun, maxBodies))
	})
}

func TestVersionsThatTheStoreWithholdsArePulledFromTheLeader(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setState(true, 0)
		c.Check(w.ShouldPull(revisionAt(5, time.Time{})), qt.IsFalse)
		c.Check(w.ShouldPull(revisionAt(9, time.Time{})), qt.IsFalse, qt.Commentf("the store is read first"))
		time.Sleep(rulesWithin / 2)
		c.Check(w.ShouldPull(revisionAt(9, time.Time{})), qt.IsTrue)
		w.Adopt(9, []byte(`{"version":9}`))
		c.Check(w.ShouldPull(revisionAt(9, time.Time{})), qt.IsFalse)
		c.Check(w.ShouldPull(revisionAt(10, time.Time{})), qt.IsFalse)
	})
}

func TestUpstreamsThatAnnounceLeavingTakeNoWork(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.setLeaving(hosts.Lifetime{ID: "u1", StartedMs: 1})
		w.RefreshLeaving()
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("at once"))
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("ready"))
		w.Confirm(revisionAt(5, time.Now()),
			hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", State: hosts.Ready, StartedMs: 1}}, time.Now()))
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("the leader's list says ready"))
		time.Sleep(drainWithin)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("the store's list says ready"))
	})
}

// A starting process uses what the leader has just read, without reading the store itself.
func TestStartingProcessesTakeTheLeadersState(t *testing.T) {
	s := &memStore{logs: map[platform.Topic][]platform.Record{}, awaits: true}
	runWatcherFor(t, s, 100*time.Millisecond, func(c *qt.C, s *memStore, w *watch.Watcher) {
		fresh := revisionAt(5, time.Now())
		c.Check(w.ShouldPull(fresh), qt.IsTrue, qt.Commentf("the leader's version is pulled at once"))
		w.Adopt(5, []byte(`{"version":5}`))
		for range 8 {
			w.Confirm(revisionAt(5, time.Now()),
				hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", State: hosts.Ready}}, time.Now()))
			time.Sleep(250 * time.Millisecond)
		}
		c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
		c.Check(s.readCount(), qt.Equals, 0)
	})
}

// A leader that cannot reach the store may hold an older configuration, with keys that have since been revoked.
func TestStartingProcessesDoNotWaitForAStaleLeader(t *testing.T) {
	s := &memStore{logs: map[platform.Topic][]platform.Record{}, awaits: true}
	runWatcherFor(t, s, 100*time.Millisecond, func(c *qt.C, s *memStore, w *watch.Watcher) {
		stale := revisionAt(4, time.Now().Add(-time.Minute))
		w.Confirm(stale, nil)
		c.Check(w.ShouldPull(stale), qt.IsFalse)
		time.Sleep(200 * time.Millisecond)
		c.Check(w.Rules().Version(), qt.Equals, int64(5), qt.Commentf("the store's version"))
		w.Adopt(4, []byte(`{"version":4}`))
		c.Check(w.Rules().Version(), qt.Equals, int64(5))
	})
}

// A process that starts while the store times out has its state within 1.5 s of the store's return. The return is
// shifted in steps of 350 ms, so that it falls into each phase of the retries.
func TestStartingProcessesSoonNoticeThatTheStoreIsBack(t *testing.T) {
	for away := range 8 {
		s := &memStore{logs: map[platform.Topic][]platform.Record{}}
		s.silent.Store(true)
		runWatcherFor(t, s, 5*time.Second+time.Duration(away)*350*time.Millisecond,
			func(c *qt.C, s *memStore, w *watch.Watcher) {
				s.silent.Store(false)
				time.Sleep(1500 * time.Millisecond)
				c.Check(w.Rules().Version(), qt.Equals, int64(5), qt.Commentf("%d", away))
				c.Check(w.Hosts().Ready("p"), qt.HasLen, 2, qt.Commentf("%d", away))
			})
	}
}

// The store executes an older configuration late, and both are read at once.
func TestALateConfigurationDoesNotHideANewerOne(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, platform.RulesKey, `{"version":9}`)
		s.put(platform.TopicRules, platform.RulesKey, `{"version":8}`)
		time.Sleep(drainWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(9))
	})
}
