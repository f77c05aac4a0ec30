package serve

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/plat/logs"
	"github.com/ragworthatch/ragworthatch/internal/plat/runner"
	"github.com/ragworthatch/ragworthatch/internal/plat/upstr"
)

// Options are what a side needs; Engine and Gate may be nil.
type Options struct {
	Upstream    upstr.Upstream
	Log         logs.Service // needed by pools that run actions
	Engine      runner.Engine
	Gate        Gate
	Pool        pool.Spec
	Name        string // of the upstream
	Zone        string
	Incarnation string // differs at each start
	Now         func() time.Time
	Zap         *zap.Logger
}

// Ticket is what admission is decided by.
type Ticket struct {
	Team      string
	Weight    float64
	SizeClass string
	Remaining time.Duration // until the request's deadline
	After     time.Duration // expected of the stages after this one
	Priority  uint32
	Alone     bool
}

// Result is what a finished call tells the gate.
type Result struct {
	Latency time.Duration
	Failed  bool
}

// Pass is held by an admitted call.
type Pass interface {
	Done(Result)
}

// Gate admits calls to the upstream.
type Gate interface {
	// Enter waits for admission; an error is a *fault.Error with the verdict NotRun.
	Enter(ctx context.Context, t Ticket) (Pass, error)
	// Limit is how many calls may run at the same time.
	Limit() int
}

const (
	defaultConcurrency = 16
	defaultSilent      = 5 * time.Second
)

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
	if o.Zap == nil {
		o.Zap = zap.NewNop()
	}
	if o.Gate == nil {
		o.Gate = newSemaphore(max(o.Pool.MaxConcurrency, defaultConcurrency))
	}
	return o, nil
}

func (o Options) silent() time.Duration {
	if o.Pool.SilentMs > 0 {
		return time.Duration(o.Pool.SilentMs) * time.Millisecond
	}
	return defaultSilent
}
