package serve

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
)

// Options are what a side needs; Engine may be nil, and a nil Gate limits calls by the pool's bounds.
type Options struct {
	Upstream    upstr.Upstream
	Log         logs.Service // needed by pools that run actions
	Engine      runner.Engine
	Gate        *gate.Gate
	Pool        pool.Spec
	Name        string // of the upstream
	Zone        string
	Incarnation string             // differs at each start
	Ahead       func(offset int64) // told of the offset that a watching entry knows; may be nil
	Now         func() time.Time
	Zap         *zap.Logger
}

const defaultSilent = 5 * time.Second

func (o Options) withDefaults() (Options, error) {
	if o.Upstream == nil {
		return o, errors.New("side needs an upstream")
	}
	if o.Incarnation == "" {
		return o, errors.New("side needs an incarnation")
	}
	if o.Pool.Kind == pool.Service && o.Log == nil {
		return o, errors.New("side of a service pool needs the log")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Ahead == nil {
		o.Ahead = func(int64) {}
	}
	if o.Zap == nil {
		o.Zap = zap.NewNop()
	}
	if o.Gate == nil {
		o.Gate = gate.New(limits(o.Pool))
	}
	return o, nil
}

// limits are the bounds of the concurrency limit.
func limits(spec pool.Spec) gate.Options {
	return gate.Options{
		Floor:   spec.MinConcurrency,
		Ceiling: spec.MaxConcurrency,
		Target:  time.Duration(spec.TargetMs) * time.Millisecond,
	}
}

// silent is how long an upstream may make no progress.
func silent(spec pool.Spec) time.Duration {
	if spec.SilentMs > 0 {
		return time.Duration(spec.SilentMs) * time.Millisecond
	}
	return defaultSilent
}
