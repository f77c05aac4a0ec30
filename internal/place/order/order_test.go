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

// loadTime is how long the fake engine takes to carry out an order.
const loadTime = 20 * time.Second

var errOldFence = errors.New("order carries an old fencing number")

// engine is a fake model engine that checks fencing numbers or ignores them.
type engine struct {
	checks           bool       // refuses orders with an older fencing number
	mu               sync.Mutex // protects the fields below
	state            runner.State
	readyAt          time.Time
	orders           []runner.Order
	ordersDuringLoad int // orders that arrived during a load
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
		e.ordersDuringLoad++
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

// delayedEngine delays calls like a sidecar that is paused before or after it checks its permit.
type delayedEngine struct {
	*engine
	beforeState time.Duration
	beforeOrder time.Duration
}

func (p *delayedEngine) State(ctx context.Context) (runner.State, error) {
	s, err := p.engine.State(ctx)
	time.Sleep(p.beforeState)
	return s, err
}

func (p *delayedEngine) Order(ctx context.Context, o runner.Order) error {
	time.Sleep(p.beforeOrder)
	return p.engine.Order(ctx, o)
}

// fixture holds a log, the fake engine of upstream r1 and the planner that sets the engine's target.
type fixture struct {
	*qt.C
	log     *memlog.Log
	engine  *engine
	planner *lease.Holder
}

// withAndWithoutFencing runs a test with an engine that checks fencing numbers and with one that ignores them.
func withAndWithoutFencing(t *testing.T, test func(b *fixture)) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fixture{C: qt.New(t), log: memlog.New(), engine: &engine{checks: checks}}
				b.planner = lease.NewHolder("planner", b.log, time.Now, zap.NewNop())
				test(b)
			})
		})
	}
}

var ctx = context.Background()

// publishPlan claims or renews the lease and publishes a plan in which r1 loads the model.
func (b *fixture) publishPlan(model string) {
	b.Assert(b.planner.ClaimOrRenew(ctx), qt.IsNil)
	b.Assert(b.planner.Publish(ctx, 1, map[string]lease.Target{"r1": {Model: model}}), qt.IsNil)
}

// newReconciler returns a reconciler for r1 that reaches the fake engine through e.
func (b *fixture) newReconciler(incarnation string, e runner.Engine) *Reconciler {
	return New(Options{
		Upstream: "r1", Incarnation: incarnation, ChecksFence: b.engine.checks,
		Log: b.log, Engine: e, Now: time.Now, Zap: zap.NewNop(),
	})
}

// reconcileUntil reconciles at each Interval until the result is want.
func (b *fixture) reconcileUntil(rc *Reconciler, want Result) {
	for range 10 {
		if rc.Reconcile(ctx) == want {
			return
		}
		time.Sleep(Interval)
	}
	b.Fatalf("reconciler did not return %s", want)
}

func TestEngineReachesTargetOneOrderAtATime(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		rc := b.newReconciler("i1", b.engine)
		b.publishPlan("m1")
		b.reconcileUntil(rc, Ordered)
		b.publishPlan("m2")
		b.Assert(rc.Reconcile(ctx), qt.Equals, Loading)
		b.reconcileUntil(rc, Ordered)
		time.Sleep(loadTime)
		b.Assert(rc.Reconcile(ctx), qt.Equals, UpToDate)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
		b.Assert(b.engine.orders, qt.HasLen, 2)
		b.Assert(b.engine.ordersDuringLoad, qt.Equals, 0)
		b.Assert(b.engine.orders[1].Fence > b.engine.orders[0].Fence, qt.IsTrue)
	})
}

func TestNewSidecarWaitsForThePermitsOfItsPredecessor(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		b.publishPlan("m1")
		b.reconcileUntil(b.newReconciler("i1", b.engine), Ordered)
		b.publishPlan("m2")
		time.Sleep(loadTime)
		started := time.Now()
		next := b.newReconciler("i2", b.engine)
		for next.Reconcile(ctx) != Ordered {
			time.Sleep(time.Second)
		}
		waited := time.Since(started) >= PermitDuration
		b.Assert(waited, qt.Equals, !b.engine.checks)
	})
}

func TestReplacedSidecarSendsNoOrder(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		old := b.newReconciler("i1", b.engine)
		b.publishPlan("m1")
		b.reconcileUntil(old, Ordered)
		time.Sleep(loadTime)
		b.reconcileUntil(b.newReconciler("i2", b.engine), UpToDate)
		b.publishPlan("m2")
		b.Assert(old.Reconcile(ctx), qt.Equals, Replaced)
		b.Assert(b.engine.orders, qt.HasLen, 1)
	})
}

func TestSidecarPausedBeyondItsPermitSendsNoOrder(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		slow := &delayedEngine{engine: b.engine, beforeState: PermitDuration}
		old := b.newReconciler("i1", slow)
		b.publishPlan("m1")
		b.reconcileUntil(old, Failed)
		b.Assert(b.engine.orders, qt.HasLen, 0)
	})
}

// A sidecar that is paused between the check of its permit and its order may send the order late. An engine that checks
// fencing numbers refuses it; one that ignores them accepts it, and the new sidecar corrects this in its next pass.
func TestLateOrderIsRefusedOrCorrected(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		late := &delayedEngine{engine: b.engine, beforeOrder: 2 * time.Minute}
		old := b.newReconciler("i1", late)
		b.publishPlan("m1")
		if !b.engine.checks {
			b.Assert(old.Reconcile(ctx), qt.Equals, Waiting)
			time.Sleep(takeoverDelay)
		}
		done := make(chan Result, 1)
		go func() { done <- old.Reconcile(ctx) }()
		synctest.Wait()
		next := b.newReconciler("i2", b.engine)
		b.publishPlan("m2")
		b.reconcileUntil(next, Ordered)
		result := <-done
		if b.engine.checks {
			b.Assert(result, qt.Equals, Failed)
			b.Assert(b.engine.state.Model, qt.Equals, "m2")
			return
		}
		b.Assert(b.engine.state.Model, qt.Equals, "m1")
		b.reconcileUntil(next, Ordered)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
		b.Assert(b.engine.ordersDuringLoad, qt.Equals, 0)
	})
}

func TestPlanOfAPausedPlannerIsNotCarriedOut(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		rc := b.newReconciler("i1", b.engine)
		b.publishPlan("m1")
		b.reconcileUntil(rc, Ordered)
		old := b.planner
		b.planner = lease.NewHolder("next", b.log, time.Now, zap.NewNop())
		b.Assert(b.planner.ClaimOrRenew(ctx), qt.Equals, lease.ErrLost)
		time.Sleep(lease.Duration)
		b.publishPlan("m2")
		b.Assert(old.Publish(ctx, 1, map[string]lease.Target{"r1": {Model: "m3"}}), qt.Equals, lease.ErrLost)
		b.reconcileUntil(rc, Ordered)
		time.Sleep(loadTime)
		b.Assert(rc.Reconcile(ctx), qt.Equals, UpToDate)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
	})
}

func TestNoOrdersWhileTheLogIsDown(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		rc := b.newReconciler("i1", b.engine)
		b.publishPlan("m1")
		b.reconcileUntil(rc, Ordered)
		b.publishPlan("m2")
		b.log.SetDown(true)
		for range 20 {
			time.Sleep(Interval)
			b.Assert(rc.Reconcile(ctx), qt.Equals, LogUnavailable)
		}
		b.log.SetDown(false)
		b.reconcileUntil(rc, Ordered)
		b.Assert(b.engine.state.Model, qt.Equals, "m2")
	})
}

func TestSidecarReportsWhatItsEngineHolds(t *testing.T) {
	withAndWithoutFencing(t, func(b *fixture) {
		b.engine.state = runner.State{Model: "m0", Version: "7"}
		rc := b.newReconciler("i1", b.engine)
		b.publishPlan("m0")
		for range 10 {
			// The plan names no version, so any version satisfies it.
			time.Sleep(Interval)
			b.Assert(rc.Reconcile(ctx) != Ordered, qt.IsTrue)
		}
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(*b.planner.State().Owner("r1").Holds, qt.DeepEquals, lease.Target{Model: "m0", Version: "7"})
		b.publishPlan("m1")
		b.reconcileUntil(rc, Ordered)
		time.Sleep(loadTime)
		b.reconcileUntil(rc, UpToDate)
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(b.planner.State().Owner("r1").Holds.Model, qt.Equals, "m1")

		// A late report of a replaced sidecar has no effect.
		b.reconcileUntil(b.newReconciler("i2", b.engine), UpToDate)
		stale := lease.Target{Model: "m9"}
		b.Assert(rc.append(ctx, lease.Record{Kind: lease.KindReport, Upstream: "r1", Incarnation: "i1",
			OwnerOffset: rc.owner().Offset, Holds: &stale}), qt.IsNil)
		b.Assert(b.planner.Read(ctx), qt.IsNil)
		b.Assert(b.planner.State().Owner("r1").Incarnation, qt.Equals, "i2")
		b.Assert(b.planner.State().Owner("r1").Holds.Model, qt.Equals, "m1")
	})
}
