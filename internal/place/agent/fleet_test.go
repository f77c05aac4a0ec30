package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

const (
	engines  = 6
	loadTime = 30 * time.Second
	maxLoads = 2
)

// sharedStore counts the loads of the engines that share a weight store.
type sharedStore struct {
	mu         sync.Mutex
	loading    int
	maxLoading int // highest number of concurrent loads
}

// engine is a fake engine that takes loadTime to carry out an order.
type engine struct {
	*sharedStore
	state runner.State
}

func (e *engine) State(context.Context) (runner.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engine) Order(_ context.Context, o runner.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = true
	e.loading++
	e.maxLoading = max(e.maxLoading, e.loading)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading--
		e.state = runner.State{Model: o.Model, Version: "1", Fence: o.Fence}
	})
	return nil
}

func (e *engine) CacheEvents(context.Context, int64) ([]runner.CacheEvent, error) { return nil, nil }

// Competing planners and one reconciler per engine carry out a change of preset without exceeding the limit on
// concurrent loads; during an outage of the log the engines keep their models.
func TestPresetReachesTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log := memlog.New()
		store := &sharedStore{}
		var list []host.Host
		var all []*engine
		for i := range engines {
			name := fmt.Sprint("r", i)
			list = append(list, host.Host{Name: name, Address: name, Zone: fmt.Sprint("z", i%3),
				Pool: "engines", State: host.Live})
			e := &engine{sharedStore: store, state: runner.State{Model: "a", Version: "1"}}
			all = append(all, e)
			reconciler := order.New(order.Options{Upstream: name, Incarnation: "i",
				Log: log, Engine: e, Now: time.Now, Zap: zap.NewNop()})
			go func() { _ = reconciler.Run(ctx) }()
		}
		table := member.New(member.Options{}).WithList(time.Now(), list)
		set := config.Set{}.WithPool(pool.Spec{Name: "engines", Kind: pool.Engine, Models: []string{"a", "b"}}).
			WithPreset(preset.Spec{Name: "day", Runners: map[string]int{"a": 5, "b": 1}}).
			WithPreset(preset.Spec{Name: "peak", Runners: map[string]int{"a": 2, "b": 4}}).WithInForce("day")
		var mu sync.Mutex
		use := func(name string) {
			mu.Lock()
			defer mu.Unlock()
			set = set.WithInForce(name)
		}
		source := func(stream *lease.State) (plan.Input, int64) {
			mu.Lock()
			defer mu.Unlock()
			return NewInput(table.View(time.Now()), set, stream, maxLoads), 1
		}
		for i := range 3 {
			h := lease.NewHolder(fmt.Sprint("entry", i), log, time.Now, zap.NewNop())
			go func() { _ = New(h, source, time.Now, zap.NewNop()).Run(ctx) }()
		}
		held := func() map[string]int {
			n := map[string]int{}
			for _, e := range all {
				s, _ := e.State(ctx)
				n[s.Model]++
			}
			return n
		}
		time.Sleep(5 * time.Minute)
		c.Assert(held(), qt.DeepEquals, map[string]int{"a": 5, "b": 1})
		log.SetDown(true)
		use("peak")
		time.Sleep(time.Hour)
		c.Assert(held(), qt.DeepEquals, map[string]int{"a": 5, "b": 1})
		log.SetDown(false)
		time.Sleep(10 * time.Minute)
		c.Assert(held(), qt.DeepEquals, map[string]int{"a": 2, "b": 4})
		c.Assert(store.maxLoading <= maxLoads, qt.IsTrue, qt.Commentf("%d loads at once", store.maxLoading))
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
