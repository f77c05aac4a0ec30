package watch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/platform"
)

// coldRules is a configuration in which upstreams of pool p are cold for so many seconds after their start.
const coldRules = `{"version":%d,"services":[{"name":"p","cold_start_s":%d,"cold_per_s":9.6}]}`

// coldEntry returns the list's entry of an upstream that says for how many ms it is cold; an empty text leaves that out.
func coldEntry(born int, left string) string {
	if left != "" {
		left = `,"cold_remaining_ms":` + left
	}
	return fmt.Sprintf(`{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":"ready","born":%d%s}`,
		born, left)
}

// coldFor returns for how long an upstream is taken to be cold.
func coldFor(w *watch.Watcher, id string) time.Duration {
	u, _ := w.Hosts().Get(id)
	return max(0, time.Until(time.UnixMilli(u.ColdUntilMs)))
}

// A cold upstream that is taken for a warm one crashes, and a warm one that is taken for a cold one serves little.
func TestUpstreamsAreColdUntilTheirEntrySaysOtherwise(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		isCold := func(id string, least, most time.Duration) {
			c.Helper()
			left := coldFor(w, id)
			c.Check(left >= least && left <= most, qt.IsTrue, qt.Commentf("%s: %v", id, left))
		}
		s.put(platform.TopicRules, platform.RulesKey, fmt.Sprintf(coldRules, 6, 6))
		time.Sleep(time.Second)
		s.put(platform.TopicUpstreams, "u1", coldEntry(1, "0"))
		s.put(platform.TopicUpstreams, "u3", coldEntry(5, ""))
		s.put(platform.TopicUpstreams, "u4", coldEntry(5, "2500"))
		time.Sleep(time.Second)
		isCold("u1", 0, 0)
		isCold("u3", 4900*time.Millisecond, 6*time.Second)
		isCold("u4", 1400*time.Millisecond, 2500*time.Millisecond)
		s.put(platform.TopicUpstreams, "u3", coldEntry(5, ""))
		s.put(platform.TopicUpstreams, "u1", coldEntry(1, "4000"))
		time.Sleep(2 * time.Second)
		isCold("u1", time.Second, 4*time.Second) // cold again
		isCold("u3", 2900*time.Millisecond, 4*time.Second)
		isCold("u4", 0, 0)
		s.put(platform.TopicUpstreams, "u3", coldEntry(5, "0"))
		time.Sleep(time.Second)
		isCold("u3", 0, 0)
		s.put(platform.TopicUpstreams, "u3", coldEntry(9, ""))
		time.Sleep(time.Second)
		isCold("u3", 4900*time.Millisecond, 6*time.Second) // started again
	})
}

// The leader hears from an upstream that it is warm, and its followers do not read the list.
func TestFollowersLearnThatUpstreamsAreWarm(t *testing.T) {
	runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
		s.put(platform.TopicRules, platform.RulesKey, fmt.Sprintf(coldRules, 6, 6))
		s.put(platform.TopicRules, "evacuate/z", `{}`)
		time.Sleep(2 * time.Second)
		s.put(platform.TopicRules, "evacuate/z", ``)
		for i := range 10 { // the leader's list is read 200 ms before it arrives
			time.Sleep(250 * time.Millisecond)
			told := revisionAt(6, time.Now())
			told.LacksZones = true
			w.Confirm(told, hosts.New([]hosts.Upstream{{ID: "u1", Pool: "p", Zone: "z", StartedMs: 1, State: hosts.Ready}},
				time.Now().Add(-200*time.Millisecond)))
			if i == 3 {
				c.Check(coldFor(w, "u1") > 0, qt.IsTrue, qt.Commentf("the list is from before an entry after the return"))
			}
		}
		c.Check(coldFor(w, "u1"), qt.Equals, time.Duration(0))
	})
}

func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	for _, cold := range []int{6, 0} {
		runWatcher(t, func(c *qt.C, s *memStore, w *watch.Watcher) {
			s.put(platform.TopicRules, platform.RulesKey, fmt.Sprintf(coldRules, 6, cold))
			s.put(platform.TopicRules, "evacuate/z", `{}`)
			for range 5 {
				time.Sleep(time.Second)
				s.put(platform.TopicUpstreams, "u1", coldEntry(1, "0"))
				s.put(platform.TopicUpstreams, "u2", coldEntry(1, "0"))
			}
			s.put(platform.TopicRules, "evacuate/z", ``)
			time.Sleep(time.Second)
			c.Check(w.Hosts().TakesWork("u1"), qt.IsTrue)
			c.Check(coldFor(w, "u1") > 4*time.Second, qt.Equals, cold > 0, qt.Commentf("the entry is from before"))
			time.Sleep(time.Second)
			s.put(platform.TopicUpstreams, "u1", coldEntry(1, "0"))
			time.Sleep(time.Second)
			c.Check(coldFor(w, "u1"), qt.Equals, time.Duration(0), qt.Commentf("the entry is new"))
			c.Check(coldFor(w, "u2") > 2*time.Second, qt.Equals, cold > 0)
			time.Sleep(4 * time.Second)
			c.Check(coldFor(w, "u2"), qt.Equals, time.Duration(0))
		})
	}
}
