package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

const (
	// Interval is how often a side looks at the plan.
	Interval = 15 * time.Second
	// PermitDuration is how long after the start of a read of the log that shows its seat a side may send an order.
	PermitDuration = 10 * time.Second
	// settle is how long a new side waits for the permits of its predecessor to lapse, with a margin for the clocks' rates.
	settle = PermitDuration + PermitDuration/5
	// orderTimeout bounds one order, within the permit.
	orderTimeout = 5 * time.Second
	// ReportInterval is how often a side reports what its engine holds although that has not changed, for processes that read
	// only the end of the stream.
	ReportInterval = 30 * time.Minute
)

// Result says what one look at the plan led to.
type Result string

// The results.
const (
	UpToDate       Result = "nothing"  // no target, or the engine holds it
	Waiting        Result = "waiting"  // the predecessor's permits have not lapsed
	Loading        Result = "loading"  // the engine is carrying out an order
	Ordered        Result = "ordered"  // an order was sent
	Replaced       Result = "replaced" // a newer side has the seat
	LogUnavailable Result = "frozen"   // the log does not answer, so the plan stays as it is
	Failed         Result = "failed"   // the engine failed or refused
)

// Options are what a reconciler is built from.
type Options struct {
	Upstream    string
	Incarnation string
	ChecksFence bool // the engine refuses orders with an old fencing number
	Log         logs.Service
	Engine      runner.Engine
	Now         func() time.Time
	Zap         *zap.Logger
}

// Reconciler gives the orders to one engine; one goroutine uses it.
type Reconciler struct {
	o        Options
	reader   *lease.Reader
	seated   bool
	seatedAt time.Time
	reported time.Time // when the last report was sent
}

// New returns a reconciler without a seat.
func New(o Options) *Reconciler {
	return &Reconciler{o: o, reader: lease.NewReader(o.Log, o.Now)}
}

// Run looks at the plan until ctx ends or a newer side has the seat.
func (g *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		if g.Reconcile(ctx) == Replaced {
			return fmt.Errorf("side %s of %s has been replaced", g.o.Incarnation, g.o.Upstream)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Reconcile looks at the plan once and sends at most one order.
func (g *Reconciler) Reconcile(ctx context.Context) Result {
	if err := g.read(ctx); err != nil {
		g.o.Zap.Warn("plan stream not read, orders wait", zap.String("upstream", g.o.Upstream), zap.Error(err))
		return LogUnavailable
	}
	if seat := g.seat(); seat.Incarnation != g.o.Incarnation {
		g.o.Zap.Warn("a newer side has the seat", zap.String("upstream", g.o.Upstream), zap.String("seat", seat.Incarnation))
		return Replaced
	}
	state, err := g.o.Engine.State(ctx)
	if err != nil {
		return g.failed("engine's state not read", err)
	}
	g.report(ctx, state)
	if !g.o.ChecksFence && g.o.Now().Sub(g.seatedAt) < settle {
		return Waiting
	}
	plan := g.reader.State().Plan()
	target, ok := plan.Targets[g.o.Upstream]
	if !ok {
		return UpToDate
	}
	return g.bring(ctx, state, target, plan.Offset)
}

func (g *Reconciler) seat() lease.Owner { return g.reader.State().Owner(g.o.Upstream) }

// report tells the planner what the engine holds, when that has changed and now and then.
func (g *Reconciler) report(ctx context.Context, state runner.State) {
	holds := held(state)
	known := g.seat().Holds
	if state.Loading || known != nil && same(holds, *known) && g.o.Now().Sub(g.reported) < ReportInterval {
		return
	}
	err := g.append(ctx, lease.Record{
		Kind: lease.KindReport, Upstream: g.o.Upstream, Incarnation: g.o.Incarnation, OwnerOffset: g.seat().Offset, Holds: &holds,
	})
	if err != nil {
		g.o.Zap.Warn("report not sent", zap.String("upstream", g.o.Upstream), zap.Error(err))
		return
	}
	g.reported = g.o.Now()
}

func (g *Reconciler) append(ctx context.Context, r lease.Record) error {
	data, err := lease.Encode(r)
	if err != nil {
		return err
	}
	_, err = g.o.Log.Append(ctx, logs.PlanStream, [][]byte{data})
	return err
}

// read brings the state up to the end of the stream, taking the seat first.
func (g *Reconciler) read(ctx context.Context) error {
	if !g.seated {
		if err := g.sit(ctx); err != nil {
			return err
		}
	}
	if err := g.reader.Read(ctx); err != nil {
		return err
	}
	if g.seat().Incarnation == "" {
		// The records were trimmed unread during an outage.
		g.seated = false
		return errors.New("the seat is no longer in the stream")
	}
	return nil
}

// sit appends the seat once; an answer that was lost is settled by reading.
func (g *Reconciler) sit(ctx context.Context) error {
	if err := g.reader.Read(ctx); err != nil {
		return err
	}
	if g.seat().Incarnation != g.o.Incarnation {
		err := g.append(ctx, lease.Record{Kind: lease.KindOwner, Upstream: g.o.Upstream, Incarnation: g.o.Incarnation})
		if err != nil {
			return fmt.Errorf("append seat: %w", err)
		}
	}
	g.seated = true
	g.seatedAt = g.o.Now()
	return nil
}

// bring compares the engine with its target and sends an order if they differ.
func (g *Reconciler) bring(ctx context.Context, state runner.State, target lease.Target, fence int64) Result {
	if state.Loading {
		return Loading
	}
	if target.SatisfiedBy(held(state)) {
		return UpToDate
	}
	left := PermitDuration - g.o.Now().Sub(g.reader.ReadAt())
	if left <= 0 {
		return g.failed("order not sent", errors.New("the permit lapsed before the order"))
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, orderTimeout))
	defer cancel()
	g.o.Zap.Info("order", zap.String("upstream", g.o.Upstream), zap.String("model", target.Model),
		zap.Strings("adapters", target.Adapters), zap.String("version", target.Version),
		zap.String("role", target.Role), zap.Int64("fence", fence), zap.String("from", state.Model))
	err := g.o.Engine.Order(ctx, runner.Order{
		Model: target.Model, Adapters: target.Adapters, Version: target.Version, Role: target.Role, Fence: fence,
	})
	if err != nil {
		return g.failed("order failed", err)
	}
	return Ordered
}

func (g *Reconciler) failed(what string, err error) Result {
	g.o.Zap.Warn(what, zap.String("upstream", g.o.Upstream), zap.Error(err))
	return Failed
}

func held(s runner.State) lease.Target {
	return lease.Target{Model: s.Model, Adapters: s.Adapters, Version: s.Version, Role: s.Role}
}

func same(a, b lease.Target) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}
