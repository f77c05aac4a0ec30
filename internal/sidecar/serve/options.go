package serve

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
)

// Options are the dependencies and settings of a side. Engine may be nil; a nil Gate is made from the pool's bounds.
type Options struct {
	Upstream      upstream.Upstream
	Log           logs.Service // required if the pool runs actions
	Engine        runner.Engine
	Gate          *gate.Gate
	Pool          pool.Spec
	Name          string // of the upstream
	Zone          string
	Incarnation   string             // unique to each start of the side
	OnEntryOffset func(offset int64) // called with the configuration offset that a watching entry has read; may be nil
	Now           func() time.Time
	Zap           *zap.Logger
}

const defaultProgressTimeout = 5 * time.Second

// withDefaults returns the options with defaults for those that may be unset, or an error for one that is required.
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
	if o.OnEntryOffset == nil {
		o.OnEntryOffset = func(int64) {}
	}
	if o.Zap == nil {
		o.Zap = zap.NewNop()
	}
	if o.Gate == nil {
		o.Gate = gate.New(gateOptions(o.Pool))
	}
	return o, nil
}

// gateOptions returns the bounds and the target latency of the pool's concurrency limit.
func gateOptions(spec pool.Spec) gate.Options {
	return gate.Options{
		Floor:   spec.MinConcurrency,
		Ceiling: spec.MaxConcurrency,
		Target:  time.Duration(spec.TargetMs) * time.Millisecond,
	}
}

// progressTimeoutOf is how long a call may make no progress before its connection counts as silent.
func progressTimeoutOf(spec pool.Spec) time.Duration {
	if spec.SilentMs > 0 {
		return time.Duration(spec.SilentMs) * time.Millisecond
	}
	return defaultProgressTimeout
}
