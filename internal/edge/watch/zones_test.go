package watch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/platform"
)

// evacuationWithin is well below the bound of 5 s, which also holds for requests that are being sent.
const evacuationWithin = 2 * time.Second

// takesWork reports whether both upstreams of the store, which are in zone z, take work.
func takesWork(w *watch.Watcher) bool {
	return w.Hosts().TakesWork("u1") && len(w.Hosts().Ready("p")) == 2
}

func TestEvacuatedZonesTakeNoWorkUntilTheRecordIsDeleted(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, "evacuate/other", `{}`)
		s.put(platform.TopicRules, "evacuate/z", `[broken`)
		time.Sleep(evacuationWithin)
		c.Check(takesWork(w), qt.IsTrue, qt.Commentf("another zone, and a record that can't be decoded"))
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		time.Sleep(evacuationWithin)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		c.Check(w.Hosts().Ready("p"), qt.HasLen, 0)
		c.Check(w.Hosts().Withheld("p"), qt.HasLen, 2)
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("ready"))
		w.Confirm(revisionAt(5, time.Now()), hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", Zone: "z", State: hosts.Ready}}, time.Now()))
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("a newer list changes nothing"))
		s.put(platform.TopicRules, "evacuate/z", `null`)
		time.Sleep(evacuationWithin)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("a record that can't be decoded changes nothing"))
		s.put(platform.TopicRules, "evacuate/z", ``)
		time.Sleep(evacuationWithin)
		c.Check(takesWork(w), qt.IsTrue)
	})
}

// A follower does not read the topic while the leader confirms its configuration, and skips the records between two
// configurations.
func TestFollowersLearnOfEvacuationsFromTheLeader(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		lead := func() watch.Revision { return revisionAt(5, time.Now()) }
		for range 8 {
			w.Confirm(lead(), nil)
			time.Sleep(250 * time.Millisecond)
		}
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		told := lead()
		told.Zones, told.ZonesEnd = []zones.Record{{Zone: "z", Evacuated: true, Offset: 1}}, 2
		w.Confirm(told, nil)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("at once"))
		s.put(platform.TopicRules, "evacuate/z", ``)
		s.put(platform.TopicRules, platform.RulesKey, `{"version":6}`)
		told = watch.Revision{Version: 6, Offset: 3, ConfirmedAt: time.Now(), ZonesEnd: 4}
		w.Confirm(told, nil)
		c.Check(takesWork(w), qt.IsTrue, qt.Commentf("a leader that started since does not know the deletion as such"))
		time.Sleep(evacuationWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(6))
		c.Check(takesWork(w), qt.IsTrue)
	})
}

// A leader that ends after the store has acknowledged an evacuation, or that is of an earlier release, tells nothing of
// it.
func TestEvacuationsTakeEffectWithoutTheLeader(t *testing.T) {
	for _, lacks := range []bool{false, true} {
		runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
			confirm := func() {
				told := revisionAt(5, time.Now())
				told.LacksZones = lacks
				w.Confirm(told, nil)
			}
			for range 8 {
				confirm()
				time.Sleep(250 * time.Millisecond)
			}
			s.put(platform.TopicRules, "evacuate/z", `{}`)
			for range 8 {
				time.Sleep(evacuationWithin / 8)
				if lacks {
					confirm()
				}
			}
			c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("lacks zones: %v", lacks))
		})
	}
}

// The configuration that a leader of an earlier release names is behind a record of an evacuation, which must be read.
func TestEvacuationsBeforeAConfigurationAreNotSkipped(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		for range 8 { // until this process has stopped reading the store
			w.Confirm(revisionAt(5, time.Now()), nil)
			time.Sleep(250 * time.Millisecond)
		}
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		s.put(platform.TopicRules, platform.RulesKey, `{"version":6}`)
		w.Confirm(watch.Revision{Version: 6, Offset: 2, ConfirmedAt: time.Now(), LacksZones: true}, nil)
		time.Sleep(evacuationWithin)
		c.Check(w.Rules().Version(), qt.Equals, int64(6))
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
	})
}

func TestEvacuationsHoldWhileTheStoreIsAway(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		time.Sleep(evacuationWithin)
		s.setState(true, 0)
		time.Sleep(time.Minute)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("the store is away"))
		s.restore(platform.TopicRules, 1)
		s.setState(false, 0)
		time.Sleep(10 * time.Second)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse, qt.Commentf("the store is back without the record"))
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		time.Sleep(evacuationWithin)
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		s.put(platform.TopicRules, "evacuate/z", ``)
		time.Sleep(evacuationWithin)
		c.Check(takesWork(w), qt.IsTrue)
	})
}

// Processes that start have the zones before they can serve.
func TestStartingProcessesKnowEvacuationsWithTheConfiguration(t *testing.T) {
	s := &memStore{logs: map[platform.Topic][]platform.Record{}}
	s.put(platform.TopicRules, "evacuate/z", `{}`)
	runWatcherFor(t, s, 0, func(c *qt.C, _ *memStore, w *watch.Watcher) {
		for w.Rules().Version() == 0 || w.Hosts().Read().IsZero() {
			time.Sleep(time.Millisecond)
			c.Assert(w.Hosts().TakesWork("u1"), qt.IsFalse)
		}
		c.Check(w.Hosts().TakesWork("u1"), qt.IsFalse)
		c.Check(w.Hosts().Withheld("p"), qt.HasLen, 2)
	})
}
