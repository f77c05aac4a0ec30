package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

const (
	// interval is how often the planner looks at the fleet.
	interval = 5 * time.Second
	// StandbyInterval is how often an entry without the lease looks whether it lapsed.
	StandbyInterval = 15 * time.Second
	// republish is how often an unchanged plan is appended again, for processes that read only the end of the stream.
	republish = 20 * time.Minute
	// awayFor is how long a runner may be away before others take its place.
	awayFor = 2 * time.Minute
)

// Source returns what the next plan depends on, given the plan stream, with the configuration revision.
type Source func(stream *lease.State) (in plan.Input, revision int64)

// Planner plans while it holds the lease; one goroutine uses it.
type Planner struct {
	holder    *lease.Holder
	source    Source
	now       func() time.Time
	lg        *zap.Logger
	pressed   map[string]time.Time
	away      map[string]time.Time // since when each runner that is not live has been away
	missing   map[string]int
	published time.Time
	frozen    bool
}

// New returns a planner without a lease.
func New(h *lease.Holder, source Source, now func() time.Time, lg *zap.Logger) *Planner {
	return &Planner{holder: h, source: source, now: now, lg: lg}
}

// Run plans until ctx ends.
func (a *Planner) Run(ctx context.Context) error {
	for {
		wait := a.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Step keeps the lease and plans once; it returns how long to wait. While the log is down the plan stays as it is.
func (a *Planner) Step(ctx context.Context) time.Duration {
	err := a.holder.ClaimOrRenew(ctx)
	if err == nil {
		err = a.plan(ctx)
	}
	switch {
	case errors.Is(err, lease.ErrLost):
		a.pressed = nil
		return StandbyInterval
	case err != nil:
		if !a.frozen {
			a.lg.Warn("log does not answer, the placement plan stays as it is", zap.Error(err))
		}
		a.frozen = true
		return interval
	}
	a.frozen = false
	return interval
}

// patient counts a runner that went away as one that is still loading, for a while: most come back.
func (a *Planner) patient(list []plan.Runner) []plan.Runner {
	away := make(map[string]time.Time)
	out := slices.Clone(list)
	for i, r := range out {
		if r.Live {
			continue
		}
		since, known := a.away[r.Name]
		if !known {
			since = a.now()
		}
		away[r.Name] = since
		if a.now().Sub(since) < awayFor {
			out[i].Live = true
			out[i].Loaded = false
		}
	}
	a.away = away
	return out
}

func (a *Planner) plan(ctx context.Context) error {
	current := a.holder.State().Plan()
	in, revision := a.source(a.holder.State())
	in.Now = a.now()
	in.Runners = a.patient(in.Runners)
	in.ShortSince = a.pressed
	out := plan.New(in)
	a.pressed = out.ShortSince
	if !maps.Equal(out.Missing, a.missing) {
		a.missing = out.Missing
		a.lg.Warn("runners that the preset asks for and nobody can give", zap.Any("missing", out.Missing), zap.Int64("revision", revision))
	}
	if len(out.Moves) == 0 && (current.Offset < 0 || a.now().Sub(a.published) < republish) {
		return nil
	}
	if err := a.holder.Publish(ctx, revision, out.Targets); err != nil {
		return err
	}
	a.published = a.now()
	for _, m := range out.Moves {
		a.lg.Info("placed", zap.String("upstream", m.Runner), zap.String("from", m.From.Model),
			zap.String("model", m.To.Model), zap.Strings("adapters", m.To.Adapters), zap.String("version", m.To.Version),
			zap.String("role", m.To.Role), zap.String("reason", string(m.Reason)),
			zap.Int64("fence", a.holder.State().Plan().Offset), zap.Int64("revision", revision))
	}
	return nil
}
