package guard

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// maxInFlight limits the requests in flight in one entry, and so its memory.
const maxInFlight = 4096

// Options are the dependencies of a Guard.
type Options struct {
	// Ready returns why the process can't serve requests, or nil.
	Ready func() *fault.Error
	// Marks returns the fingerprints suspected of crashing upstreams.
	Marks func() *poison.Set
	// Limit applies the team's rate limit; the verdict of its error is NotRun.
	Limit func(r task.Request, now time.Time) *fault.Error
	// Admit refuses a request that is not expected to finish before its deadline; the verdict of its error is NotRun.
	Admit func(r task.Request, now time.Time) *fault.Error
	Now   func() time.Time
	Log   *zap.Logger
}

// Guard admits requests until it is drained; it is safe for concurrent use.
type Guard struct {
	opts     Options
	mu       sync.Mutex
	draining bool
	inFlight int
	drained  chan struct{} // closed when draining and none is in flight
}

// New returns a guard that is not draining.
func New(o Options) *Guard { return &Guard{opts: o, drained: make(chan struct{})} }

// Ready returns why no request can start now, or nil.
func (g *Guard) Ready() *fault.Error {
	if g.Draining() {
		return drainingError()
	}
	return g.opts.Ready()
}

// Admit returns the request to run, or an error with the verdict NotRun. Alone is set if the request's fingerprint is
// suspected of crashing upstreams.
func (g *Guard) Admit(r task.Request) (task.Request, *fault.Error) {
	now := g.opts.Now()
	r, err := g.checkQuarantine(r, now)
	if err == nil {
		err = g.opts.Admit(r, now)
	}
	if err == nil {
		err = g.opts.Limit(r, now)
	}
	if err != nil {
		g.opts.Log.Info("not admitted", zap.String("request", r.Label), zap.String("id", r.ID),
			zap.String("team", r.Team.Name), zap.String("pipeline", r.Pipeline.Name),
			zap.String("code", string(err.Code)), zap.Duration("retryAfter", err.RetryAfter))
	}
	return r, err
}

// checkQuarantine refuses requests in quarantine and makes suspects run alone.
func (g *Guard) checkQuarantine(r task.Request, now time.Time) (task.Request, *fault.Error) {
	switch g.opts.Marks().State(r.Fingerprint, now) {
	case poison.Quarantined:
		return r, fault.New(fault.NotRun, fault.Quarantined,
			"requests with this body crashed upstreams; an operator can lift fingerprint %.12s", r.Fingerprint).
			WithRetryAfter(g.opts.Marks().RetryAfter(r.Fingerprint, now))
	case poison.Suspect:
		r.Alone = true
	}
	return r, nil
}

// Begin counts a request in flight, or returns an error if there can't be one more.
func (g *Guard) Begin() *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return drainingError()
	}
	if g.inFlight >= maxInFlight {
		return fault.New(fault.NotRun, fault.Overloaded, "this entry has %d requests in flight", maxInFlight).
			WithRetryAfter(time.Second)
	}
	g.inFlight++
	return nil
}

// End removes a request from those in flight.
func (g *Guard) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.draining && g.inFlight == 0 {
		close(g.drained)
	}
}

// Draining reports whether Drain has been called.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// InFlight returns the number of requests in flight.
func (g *Guard) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Drain makes the guard refuse new requests; the channel is closed when none is in flight.
func (g *Guard) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		if g.inFlight == 0 {
			close(g.drained)
		}
	}
	return g.drained
}

// drainingError returns the error for requests that arrive during a drain.
func drainingError() *fault.Error {
	return fault.New(fault.NotRun, fault.Draining, "this entry is shutting down").WithRetryAfter(time.Second)
}
