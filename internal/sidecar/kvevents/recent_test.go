package kvevents

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
)

func event(offset int64, prefix string, evicted bool) runner.CacheEvent {
	return runner.CacheEvent{Offset: offset, Prefix: prefix, Evicted: evicted}
}

func TestSinceReturnsLatestEventOfEachPrefix(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Add([]runner.CacheEvent{event(1, "a", false), event(2, "b", false), event(5, "a", true)})
	r.Add([]runner.CacheEvent{event(5, "a", false), event(6, "c", false)}) // the first repeats an offset
	cached, evicted, next := r.Since(0)
	c.Assert(cached, qt.DeepEquals, []string{"b", "c"})
	c.Assert(evicted, qt.DeepEquals, []string{"a"})
	cached, evicted, _ = r.Since(next)
	c.Assert(len(cached)+len(evicted), qt.Equals, 0)
}

func TestLaggingWatcherGetsNewestEvents(t *testing.T) {
	c := qt.New(t)
	r := New()
	for i := range int64(3 * maxEvents) {
		r.Add([]runner.CacheEvent{event(i, fmt.Sprint(i), false)})
	}
	cached, _, next := r.Since(0)
	c.Assert(cached, qt.HasLen, maxEvents)
	c.Assert(cached[maxEvents-1], qt.Equals, fmt.Sprint(3*maxEvents-1))
	cached, _, _ = r.Since(next)
	c.Assert(cached, qt.HasLen, 0)
}

func TestResetAcceptsOffsetsOfNewEngine(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Add([]runner.CacheEvent{event(9, "old", false)})
	_, _, next := r.Since(0)
	r.Reset()
	r.Add([]runner.CacheEvent{event(1, "new", false)})
	cached, _, _ := r.Since(next)
	c.Assert(cached, qt.DeepEquals, []string{"new"})
}
