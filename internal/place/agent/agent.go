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
	// planInterval is how often the lease holder computes a plan.
	planInterval = 5 * time.Second
	// StandbyInterval is how often an entry without the lease checks whether the lease has expired.
	StandbyInterval = 15 * time.Second
	// republishInterval is how often an unchanged plan is appended again, for processes that read only the end of the
	// stream.
	republishInterval = 20 * time.Minute
	// absenceGrace is how long a runner may be absent before others replace it.
	absenceGrace = 2 * time.Minute
)

// Source returns the input of the next plan, given the state of the plan stream, and the revision of the configuration
// that the input was made from.
type Source func(stream *lease.State) (in plan.Input, revision int64)

// Planner publishes placement plans while it holds the lease. It is not safe for concurrent use.
type Planner struct {
	holder      *lease.Holder
	source      Source
	now         func() time.Time
	lg          *zap.Logger
	shortSince  map[string]time.Time // plan.Output.ShortSince of the last plan
	absentSince map[string]time.Time // since when each runner has not been live
	missing     map[string]int       // plan.Output.Missing when it was last logged
	publishedAt time.Time            // when this process last published a plan
	logDown     bool                 // the last access to the log failed; it is logged only once
}

// New returns a planner that does not hold the lease yet.
func New(h *lease.Holder, source Source, now func() time.Time, lg *zap.Logger) *Planner {
	return &Planner{holder: h, source: source, now: now, lg: lg}
}

// Run calls Step until ctx ends; it always returns nil.
func (p *Planner) Run(ctx context.Context) error {
	for {
		wait := p.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Step claims or renews the lease, plans once and returns the time until the next step. While the log is down, the plan
// stays as it is.
func (p *Planner) Step(ctx context.Context) time.Duration {
	err := p.holder.ClaimOrRenew(ctx)
	if err == nil {
		err = p.plan(ctx)
	}
	switch {
	case errors.Is(err, lease.ErrLost):
		p.shortSince = nil
		return StandbyInterval
	case err != nil:
		if !p.logDown {
			p.lg.Warn("log does not answer, the placement plan stays as it is", zap.Error(err))
		}
		p.logDown = true
		return planInterval
	}
	p.logDown = false
	return planInterval
}

// tolerateAbsence treats absent runners as still loading for absenceGrace, as most come back soon.
func (p *Planner) tolerateAbsence(list []plan.Runner) []plan.Runner {
	absentSince := make(map[string]time.Time)
	out := slices.Clone(list)
	for i, r := range out {
		if r.Live {
			continue
		}
		since, known := p.absentSince[r.Name]
		if !known {
			since = p.now()
		}
		absentSince[r.Name] = since
		if p.now().Sub(since) < absenceGrace {
			out[i].Live = true
			out[i].Loaded = false
		}
	}
	p.absentSince = absentSince
	return out
}

// plan computes a plan and publishes it if it moves runners or is due for republishing.
func (p *Planner) plan(ctx context.Context) error {
	current := p.holder.State().Plan()
	in, revision := p.source(p.holder.State())
	in.Now = p.now()
	in.Runners = p.tolerateAbsence(in.Runners)
	in.ShortSince = p.shortSince
	out := plan.New(in)
	p.shortSince = out.ShortSince
	// The shortage is logged each time it changes; an empty map means that it is over.
	if !maps.Equal(out.Missing, p.missing) {
		p.missing = out.Missing
		p.lg.Warn("runners that the preset asks for and nobody can give", zap.Any("missing", out.Missing),
			zap.Int64("revision", revision))
	}
	// Before the first plan there is nothing to republish.
	if len(out.Moves) == 0 && (current.Offset < 0 || p.now().Sub(p.publishedAt) < republishInterval) {
		return nil
	}
	if err := p.holder.Publish(ctx, revision, out.Targets); err != nil {
		return err
	}
	p.publishedAt = p.now()
	for _, m := range out.Moves {
		p.lg.Info("placed", zap.String("upstream", m.Runner), zap.String("from", m.From.Model),
			zap.String("model", m.To.Model), zap.Strings("adapters", m.To.Adapters), zap.String("version", m.To.Version),
			zap.String("role", m.To.Role), zap.String("reason", string(m.Reason)),
			zap.Int64("fence", p.holder.State().Plan().Offset), zap.Int64("revision", revision))
	}
	return nil
}
