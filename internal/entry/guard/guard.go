package guard

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// maxInFlight bounds the requests of one entry, and with them its memory.
const maxInFlight = 4096

// Options are the dependencies of a Guard.
type Options struct {
	// Ready returns why the process can't serve yet.
	Ready func() *fault.Error
	// Marks are the fingerprints that crash upstreams.
	Marks func() *poison.Set
	// Limit takes one request from a team's share; its error's verdict is NotRun.
	Limit func(r task.Request, now time.Time) *fault.Error
	// Admit refuses what can't finish in its deadline; its error's verdict is NotRun.
	Admit func(r task.Request, now time.Time) *fault.Error
	Now   func() time.Time
	Log   *zap.Logger
}

// Guard is safe for concurrent use.
type Guard struct {
	o        Options
	mu       sync.Mutex
	draining bool
	inFlight int
	empty    chan struct{}
}

// New returns an open guard.
func New(o Options) *Guard { return &Guard{o: o, empty: make(chan struct{})} }

// Ready returns why no request can start now; nil when they can.
func (g *Guard) Ready() *fault.Error {
	if g.Draining() {
		return draining()
	}
	return g.o.Ready()
}

// Admit returns the request to run, perhaps alone on its upstream, or why not.
func (g *Guard) Admit(r task.Request) (task.Request, *fault.Error) {
	now := g.o.Now()
	r, err := g.quarantine(r, now)
	if err == nil {
		err = g.o.Admit(r, now)
	}
	if err == nil {
		err = g.o.Limit(r, now)
	}
	if err != nil {
		g.o.Log.Info("not admitted", zap.String("request", r.Label), zap.String("id", r.ID),
			zap.String("team", r.Team.Name), zap.String("pipeline", r.Pipeline.Name),
			zap.String("code", string(err.Code)), zap.Duration("retryAfter", err.RetryAfter))
	}
	return r, err
}

// quarantine refuses what crashed upstreams, and runs suspects alone.
func (g *Guard) quarantine(r task.Request, now time.Time) (task.Request, *fault.Error) {
	switch g.o.Marks().State(r.Fingerprint, now) {
	case poison.Quarantined:
		return r, fault.New(fault.NotRun, fault.Quarantined,
			"requests with this body crashed upstreams; an operator can lift fingerprint %.12s", r.Fingerprint).
			WithRetryAfter(g.o.Marks().RetryAfter(r.Fingerprint, now))
	case poison.Suspect:
		r.Alone = true
	}
	return r, nil
}

// Begin counts a request in flight, or returns why there can't be one more.
func (g *Guard) Begin() *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return draining()
	}
	if g.inFlight >= maxInFlight {
		return fault.New(fault.NotRun, fault.Overloaded, "this entry has %d requests in flight", maxInFlight).
			WithRetryAfter(time.Second)
	}
	g.inFlight++
	return nil
}

// End counts a request out.
func (g *Guard) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.draining && g.inFlight == 0 {
		close(g.empty)
	}
}

// Draining says whether the drain has started.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// InFlight is the number of requests in flight.
func (g *Guard) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Drain refuses new requests; the channel closes when none is in flight.
func (g *Guard) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		if g.inFlight == 0 {
			close(g.empty)
		}
	}
	return g.empty
}

func draining() *fault.Error {
	return fault.New(fault.NotRun, fault.Draining, "this entry is shutting down").WithRetryAfter(time.Second)
}
