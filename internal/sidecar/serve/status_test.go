package serve

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// cacheEngine is an engine with a given state and given cache events.
type cacheEngine struct {
	runner.Engine
	state  runner.State
	events []runner.CacheEvent
}

// State returns the given state.
func (e *cacheEngine) State(context.Context) (runner.State, error) { return e.state, nil }

// CacheEvents returns the events after an offset.
func (e *cacheEngine) CacheEvents(_ context.Context, after int64) ([]runner.CacheEvent, error) {
	var out []runner.CacheEvent
	for _, ev := range e.events {
		if ev.Offset > after {
			out = append(out, ev)
		}
	}
	return out, nil
}

func TestWatchReportsModelsAndCachedPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &cacheEngine{
			state:  runner.State{Model: "m", Version: "2", Adapters: []string{"es"}},
			events: []runner.CacheEvent{{Offset: 0, Prefix: "a"}, {Offset: 3, Prefix: "b"}},
		}
		side := newTestSide(t, Options{Engine: e}, nil)
		synctest.Wait()
		for range 2 {
			watch, err := inmem.New(side.node, nil).Watch(t.Context(), &sidepb.WatchRequest{})
			c.Assert(err, qt.IsNil)
			st, err := watch.Recv()
			c.Assert(err, qt.IsNil)
			c.Assert(st.Models, qt.DeepEquals, []string{"m", "m@2", "m+es"})
			c.Assert(st.Cached, qt.DeepEquals, []string{"a", "b"})
			st, err = watch.Recv()
			c.Assert(err, qt.IsNil)
			c.Assert(st.Cached, qt.HasLen, 0)
		}
	})
}
