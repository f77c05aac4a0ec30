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
	// Interval is how often a sidecar reconciles its engine with the plan.
	Interval = 15 * time.Second
	// PermitDuration is how long a sidecar may send orders after it started a read of the log that shows it as the owner.
	PermitDuration = 10 * time.Second
	// takeoverDelay is how long a new owner waits for the permits of its predecessor to expire, with a margin for clocks
	// that run at different rates.
	takeoverDelay = PermitDuration + PermitDuration/5
	// orderTimeout bounds one order; the remaining permit may shorten it.
	orderTimeout = 5 * time.Second
	// ReportInterval is how often a sidecar repeats an unchanged report of what its engine has loaded, for processes that
	// read only the end of the stream.
	ReportInterval = 30 * time.Minute
)

// Result is the result of one reconciliation.
type Result string

// The results.
const (
	UpToDate       Result = "nothing"  // no target, or the engine has loaded it
	Waiting        Result = "waiting"  // the predecessor's permits may still be valid
	Loading        Result = "loading"  // the engine is carrying out an order
	Ordered        Result = "ordered"  // an order was sent
	Replaced       Result = "replaced" // a newer sidecar owns the engine
	LogUnavailable Result = "frozen"   // the log cannot be read, so no orders are sent
	Failed         Result = "failed"   // the engine failed or refused, or the permit expired
)

// Options configure a reconciler.
type Options struct {
	Upstream    string
	Incarnation string // identifies this run of the sidecar
	ChecksFence bool   // the engine refuses orders with an older fencing number
	Log         logs.Service
	Engine      runner.Engine
	Now         func() time.Time
	Zap         *zap.Logger
}

// Reconciler brings one engine to its target. It is not safe for concurrent use.
type Reconciler struct {
	o          Options
	reader     *lease.Reader
	claimed    bool      // this sidecar's owner record has been appended or read
	claimedAt  time.Time // when ownership was claimed
	reportedAt time.Time // when the last report was sent
}

// New returns a reconciler that does not own its engine yet.
func New(o Options) *Reconciler {
	return &Reconciler{o: o, reader: lease.NewReader(o.Log, o.Now)}
}

// Run reconciles at each Interval. It returns nil when ctx ends, and an error when a newer sidecar owns the engine.
func (rc *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		if rc.Reconcile(ctx) == Replaced {
			return fmt.Errorf("side %s of %s has been replaced", rc.o.Incarnation, rc.o.Upstream)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Reconcile compares the engine with the plan once and sends at most one order.
func (rc *Reconciler) Reconcile(ctx context.Context) Result {
	if err := rc.read(ctx); err != nil {
		rc.o.Zap.Warn("failed to read the plan stream; no orders are sent",
			zap.String("upstream", rc.o.Upstream), zap.Error(err))
		return LogUnavailable
	}
	if owner := rc.owner(); owner.Incarnation != rc.o.Incarnation {
		rc.o.Zap.Warn("a newer side owns the engine",
			zap.String("upstream", rc.o.Upstream), zap.String("seat", owner.Incarnation))
		return Replaced
	}
	state, err := rc.o.Engine.State(ctx)
	if err != nil {
		return rc.logFailure("failed to read the state of the engine", err)
	}
	rc.report(ctx, state)
	if !rc.o.ChecksFence && rc.o.Now().Sub(rc.claimedAt) < takeoverDelay {
		return Waiting
	}
	plan := rc.reader.State().Plan()
	target, ok := plan.Targets[rc.o.Upstream]
	if !ok {
		return UpToDate
	}
	return rc.applyTarget(ctx, state, target, plan.Offset)
}

// owner returns the engine's owner according to the last read of the stream.
func (rc *Reconciler) owner() lease.Owner { return rc.reader.State().Owner(rc.o.Upstream) }

// report tells the planner what the engine has loaded, on a change and at each ReportInterval.
func (rc *Reconciler) report(ctx context.Context, state runner.State) {
	loaded := loadedTarget(state)
	reported := rc.owner().Holds
	if state.Loading ||
		reported != nil && equalTargets(loaded, *reported) && rc.o.Now().Sub(rc.reportedAt) < ReportInterval {
		return
	}
	err := rc.append(ctx, lease.Record{
		Kind: lease.KindReport, Upstream: rc.o.Upstream, Incarnation: rc.o.Incarnation,
		OwnerOffset: rc.owner().Offset, Holds: &loaded,
	})
	if err != nil {
		rc.o.Zap.Warn("failed to append the report", zap.String("upstream", rc.o.Upstream), zap.Error(err))
		return
	}
	rc.reportedAt = rc.o.Now()
}

// append appends a record to the plan stream.
func (rc *Reconciler) append(ctx context.Context, r lease.Record) error {
	data, err := lease.Encode(r)
	if err != nil {
		return err
	}
	_, err = rc.o.Log.Append(ctx, logs.PlanStream, [][]byte{data})
	return err
}

// read reads the stream up to its end and claims ownership first if necessary.
func (rc *Reconciler) read(ctx context.Context) error {
	if !rc.claimed {
		if err := rc.claim(ctx); err != nil {
			return err
		}
	}
	if err := rc.reader.Read(ctx); err != nil {
		return err
	}
	if rc.owner().Incarnation == "" {
		// The records were trimmed during an outage, before they were read.
		rc.claimed = false
		return errors.New("the plan stream no longer has an owner record for the engine")
	}
	return nil
}

// claim appends the record that makes this sidecar the owner of its engine. It does not if the stream already holds the
// record, as it may when the answer to an earlier append was lost.
func (rc *Reconciler) claim(ctx context.Context) error {
	if err := rc.reader.Read(ctx); err != nil {
		return err
	}
	if rc.owner().Incarnation != rc.o.Incarnation {
		err := rc.append(ctx, lease.Record{Kind: lease.KindOwner, Upstream: rc.o.Upstream, Incarnation: rc.o.Incarnation})
		if err != nil {
			return fmt.Errorf("append owner record: %w", err)
		}
	}
	rc.claimed = true
	rc.claimedAt = rc.o.Now()
	return nil
}

// applyTarget sends an order if the engine has not loaded its target; fence is the order's fencing number.
func (rc *Reconciler) applyTarget(ctx context.Context, state runner.State, target lease.Target, fence int64) Result {
	if state.Loading {
		return Loading
	}
	if target.SatisfiedBy(loadedTarget(state)) {
		return UpToDate
	}
	remaining := PermitDuration - rc.o.Now().Sub(rc.reader.ReadAt())
	if remaining <= 0 {
		return rc.logFailure("order not sent", errors.New("the permit expired before the order"))
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, orderTimeout))
	defer cancel()
	rc.o.Zap.Info("order", zap.String("upstream", rc.o.Upstream), zap.String("model", target.Model),
		zap.Strings("adapters", target.Adapters), zap.String("version", target.Version),
		zap.String("role", target.Role), zap.Int64("fence", fence), zap.String("from", state.Model))
	err := rc.o.Engine.Order(ctx, runner.Order{
		Model: target.Model, Adapters: target.Adapters, Version: target.Version, Role: target.Role, Fence: fence,
	})
	if err != nil {
		return rc.logFailure("order failed", err)
	}
	return Ordered
}

// logFailure logs a warning and returns Failed.
func (rc *Reconciler) logFailure(message string, err error) Result {
	rc.o.Zap.Warn(message, zap.String("upstream", rc.o.Upstream), zap.Error(err))
	return Failed
}

// loadedTarget returns what an engine has loaded, in the form of a target.
func loadedTarget(s runner.State) lease.Target {
	return lease.Target{Model: s.Model, Adapters: s.Adapters, Version: s.Version, Role: s.Role}
}

func equalTargets(a, b lease.Target) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}
