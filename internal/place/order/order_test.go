package order

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

// loadTime is how long the stand-in engine takes to carry out an order.
const loadTime = 20 * time.Second

var errOldFence = errors.New("order carries an old fencing number")

// engine is a model engine that checks fencing numbers or ignores them.
type engine struct {
	checks  bool
	mu      sync.Mutex // of what follows
	state   runner.State
	readyAt time.Time
	orders  []runner.Order
	during  int // orders that came while another was carried out
}

func (e *engine) State(context.Context) (runner.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Loading = time.Now().Before(e.readyAt)
	return s, nil
}

func (e *engine) Order(_ context.Context, o runner.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.state.Fence {
		return errOldFence
	}
	if time.Now().Before(e.readyAt) {
		e.during++
	}
	e.orders = append(e.orders, o)
	e.state = runner.State{Model: o.Model, Adapters: o.Adapters, Version: o.Version, Role: o.Role}
	if e.checks {
		e.state.Fence = o.Fence
	}
	e.readyAt = time.Now().Add(loadTime)
	return nil
}

func (e *engine) CacheEvents(context.Context, int64) ([]runner.CacheEvent, error) { return nil, nil }

// paused is the link of a side that is paused between its check and the arrival of its order.
type paused struct {
	*engine
	beforeState time.Duration
	beforeOrder time.Duration
}

func (p *paused) State(ctx context.Context) (runner.State, error) {
	s, err := p.engine.State(ctx)
	time.Sleep(p.beforeState)
	return s, err
}

func (p *paused) Order(ctx context.Context, o runner.Order) error {
	time.Sleep(p.beforeOrder)
	return p.engine.Order(ctx, o)
}

type bench struct {
	*qt.C
	log     *memlog.Log
	engine  *engine
	planner *lease.Holder
}

// both runs a test with an engine that checks fencing numbers and with one that ignores them.
func both(t *testing.T, test func(b *bench)) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &bench{C: qt.New(t), log: memlog.New(), engine: &engine{checks: checks}}
				b.planner = lease.NewHolder("planner", b.log, time.Now, zap.NewNop())
				test(b)
			})
		})
	}
}

var ctx = context.Background()

func (b *bench) plan(model string) {
	b.Assert(b.planner.ClaimOrRenew(ctx), qt.IsNil)
	b.Assert(b.planner.Publish(ctx, 1, map[string]lease.Target{"r1": {Model: model}}), qt.IsNil)
}

func (b *bench) side(incarnation string, e runner.Engine) *Reconciler {
	return New(Options{
		Upstream: "r1", Incarnation: incarnation, ChecksFence: b.engine.checks,
		Log: b.log, Engine: e, Now: time.Now, Zap: zap.NewNop(),
	})
}

// until steps a gate at its interval until it returns a result.
func (b *bench) until(g *Reconciler, want Result) {
	for range 10 {
		if g.Reconcile(ctx) == want {
			return
		}
		time.Sleep(Interval)
	}
	b.Fatalf("gate does not come to %s", want)
}

func TestBringsEngineToTargetOneOrderAtATime(t *testing.T) {
	both(t, func(b *bench) {
		g := b.side("i1", b.engine)
		b.plan("m1")
		b.until(g, Ordered)
		b.plan("m2")
		b.Assert(g.Reconcile(ctx), qt.Equals, Loading)
		b.until(g, Ordered)
		time.Sleep(loadTime)
		b.Assert(g.Reconcile(ctx), qt.Equals, UpToDate)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
		b.Assert(b.engine.orders, qt.HasLen, 2)
		b.Assert(b.engine.during, qt.Equals, 0)
		b.Assert(b.engine.orders[1].Fence > b.engine.orders[0].Fence, qt.IsTrue)
	})
}

func TestNewSideWaitsOutItsPredecessor(t *testing.T) {
	both(t, func(b *bench) {
		b.plan("m1")
		b.until(b.side("i1", b.engine), Ordered)
		b.plan("m2")
		time.Sleep(loadTime)
		started := time.Now()
		next := b.side("i2", b.engine)
		for next.Reconcile(ctx) != Ordered {
			time.Sleep(time.Second)
		}
		waited := time.Since(started) >= PermitDuration
		b.Assert(waited, qt.Equals, !b.engine.checks)
	})
}

func TestPausedOldSideResumesWithoutHarm(t *testing.T) {
	both(t, func(b *bench) {
		old := b.side("i1", b.engine)
		b.plan("m1")
		b.until(old, Ordered)
		time.Sleep(loadTime)
		b.until(b.side("i2", b.engine), UpToDate)
		b.plan("m2")
		b.Assert(old.Reconcile(ctx), qt.Equals, Replaced)
		b.Assert(b.engine.orders, qt.HasLen, 1)
	})
}

func TestSidePausedBeforeItsCheckSendsNothing(t *testing.T) {
	both(t, func(b *bench) {
		slow := &paused{engine: b.engine, beforeState: PermitDuration}
		old := b.side("i1", slow)
		b.plan("m1")
		b.until(old, Failed)
		b.Assert(b.engine.orders, qt.HasLen, 0)
	})
}

// What remains: a side paused between its check and the arrival of its order. An engine that checks refuses it; one that
// ignores the number takes it, and the new side puts it right at its next look.
func TestOrderThatArrivesLate(t *testing.T) {
	both(t, func(b *bench) {
		late := &paused{engine: b.engine, beforeOrder: 2 * time.Minute}
		old := b.side("i1", late)
		b.plan("m1")
		if !b.engine.checks {
			b.Assert(old.Reconcile(ctx), qt.Equals, Waiting)
			time.Sleep(settle)
		}
		done := make(chan Result, 1)
		go func() { done <- old.Reconcile(ctx) }()
		synctest.Wait()
		next := b.side("i2", b.engine)
		b.plan("m2")
		b.until(next, Ordered)
		result := <-done
		if b.engine.checks {
			b.Assert(result, qt.Equals, Failed)
			b.Assert(b.engine.state.Model, qt.Equals, "m2")
			return
		}
		b.Assert(b.engine.state.Model, qt.Equals, "m1")
		b.until(next, Ordered)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
		b.Assert(b.engine.during, qt.Equals, 0)
	})
}

func TestPlanOfAPausedPlannerIsNotCarriedOut(t *testing.T) {
	both(t, func(b *bench) {
		g := b.side("i1", b.engine)
		b.plan("m1")
		b.until(g, Ordered)
		old := b.planner
		b.planner = lease.NewHolder("next", b.log, time.Now, zap.NewNop())
		b.Assert(b.planner.ClaimOrRenew(ctx), qt.Equals, lease.ErrLost)
		time.Sleep(lease.Duration)
		b.plan("m2")
		b.Assert(old.Publish(ctx, 1, map[string]lease.Target{"r1": {Model: "m3"}}), qt.Equals, lease.ErrLost)
		b.until(g, Ordered)
		time.Sleep(loadTime)
		b.Assert(g.Reconcile(ctx), qt.Equals, UpToDate)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
	})
}

func TestLogDownFreezesOrders(t *testing.T) {
	both(t, func(b *bench) {
		g := b.side("i1", b.engine)
		b.plan("m1")
		b.until(g, Ordered)
		b.plan("m2")
		b.log.SetDown(true)
		for range 20 {
			time.Sleep(Interval)
			b.Assert(g.Reconcile(ctx), qt.Equals, LogUnavailable)
		}
		b.log.SetDown(false)
		b.until(g, Ordered)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
	})
}

func TestSideReportsWhatItsEngineHolds(t *testing.T) {
	both(t, func(b *bench) {
		b.engine.state = runner.State{Model: "m0", Version: "7"}
		g := b.side("i1", b.engine)
		b.plan("m0")
		for range 10 {
			// The plan names no version, so any will do.
			time.Sleep(Interval)
			b.Assert(g.Reconcile(ctx) != Ordered, qt.IsTrue)
		}
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(*b.planner.State().Owner("r1").Holds, qt.DeepEquals, lease.Target{Model: "m0", Version: "7"})
		b.plan("m1")
		b.until(g, Ordered)
		time.Sleep(loadTime)
		b.until(g, UpToDate)
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(b.planner.State().Owner("r1").Holds.Model, qt.Equals, "m1")

		// A report of a side that has been replaced, sent before it noticed, takes nothing back.
		b.until(b.side("i2", b.engine), UpToDate)
		stale := lease.Target{Model: "m9"}
		b.Assert(g.append(ctx, lease.Record{Kind: lease.KindReport, Upstream: "r1", Incarnation: "i1", OwnerOffset: g.seat().Offset, Holds: &stale}), qt.IsNil)
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(b.planner.State().Owner("r1").Incarnation, qt.Equals, "i2")
		b.Assert(b.planner.State().Owner("r1").Holds.Model, qt.Equals, "m1")
	})
}
