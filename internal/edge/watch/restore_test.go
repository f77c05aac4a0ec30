package watch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/platform"
)

// restore brings a topic back from a copy with so many records; the era rises.
func (s *memStore) restore(topic platform.Topic, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.logs[topic] = s.logs[topic][:records]
}

// A version that was written again below the offset that an entry had read comes into force.
func TestConfigurationsWrittenAgainAfterARestoreAreRead(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, platform.RulesKey, `{"version":6}`)
		time.Sleep(time.Second)
		c.Assert(w.Rules().Version(), qt.Equals, int64(6))
		s.setState(true, 0)
		time.Sleep(3 * time.Second)
		s.restore(platform.TopicRules, 1) // the copy holds version 5 only
		s.put(platform.TopicRules, platform.RulesKey, `{"version":7}`)
		s.setState(false, 0)
		time.Sleep(2 * time.Second)
		c.Check(w.Rules().Version(), qt.Equals, int64(7))
	})
}

// An older configuration of the copy does not replace a newer one.
func TestARestoreDoesNotBringAnOlderConfigurationBack(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, platform.RulesKey, `{"version":6}`)
		time.Sleep(time.Second)
		s.restore(platform.TopicRules, 1)
		time.Sleep(2 * time.Second)
		c.Check(w.Rules().Version(), qt.Equals, int64(6))
	})
}

// The copy lists an upstream as ready that has left since, and lacks one that has started since.
func TestARestoreBringsNoUpstreamBackThatHasLeft(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		time.Sleep(time.Second)
		copied := len(s.logs[platform.TopicUpstreams])
		s.put(platform.TopicUpstreams, "u1", upstreamEntry("draining"))
		s.put(platform.TopicUpstreams, "u2", "")
		s.put(platform.TopicUpstreams, "u3", upstreamEntry("ready"))
		time.Sleep(2 * time.Second)
		c.Assert(readyIDs(w), qt.DeepEquals, []string{"u3"})
		s.restore(platform.TopicUpstreams, copied)
		time.Sleep(time.Second)
		c.Check(readyIDs(w), qt.DeepEquals, []string{"u3"}, qt.Commentf("u3 has time to write its entry again"))
		s.put(platform.TopicUpstreams, "u3", upstreamEntry("ready"))
		time.Sleep(4 * time.Second)
		c.Check(readyIDs(w), qt.DeepEquals, []string{"u3"})
		s.put(platform.TopicUpstreams, "u2", upstreamEntry("ready"))
		time.Sleep(time.Second)
		c.Check(readyIDs(w), qt.DeepEquals, []string{"u2", "u3"}, qt.Commentf("u2 writes that it is there"))
	})
}

func readyIDs(w *watch.Watcher) []string {
	var out []string
	for _, u := range w.Hosts().Ready("p") {
		out = append(out, u.ID)
	}
	return out
}
