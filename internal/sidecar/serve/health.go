package serve

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const (
	probeInterval     = time.Second
	probeTimeout      = 2 * time.Second
	crashCheckTimeout = 500 * time.Millisecond // for the ping that tells a crash from a broken connection
	pollInterval      = 5 * time.Second
	latencyWeight     = 0.1 // weight of the newest call in the moving average of the latency
)

// health holds the last known health, latency and reported load of the upstream.
type health struct {
	mu      sync.Mutex
	ok      bool
	latency time.Duration
	load    upstream.Load
}

func (h *health) init() { h.ok = true }

// set records whether the upstream is healthy and reports whether that has changed.
func (h *health) set(ok bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.ok != ok
	h.ok = ok
	return changed
}

func (h *health) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ok
}

// observeLatency adds the latency of a call to the moving average.
func (h *health) observeLatency(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

func (h *health) setLoad(l upstream.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.load = l
}

// snapshot returns the average latency and the load that the upstream reported last.
func (h *health) snapshot() (latency time.Duration, load upstream.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency, h.load
}

// setHealthy records the upstream's health and notifies the watchers if it has changed.
func (s *Server) setHealthy(ok bool) {
	if s.health.set(ok) {
		s.opts.Zap.Info("upstream health changed", zap.Bool("healthy", ok))
		s.hub.Notify()
	}
}

// ping asks the upstream for an answer on a new connection and records the result as its health; a ping that failed
// because ctx was canceled is not recorded.
func (s *Server) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ok := s.opts.Upstream.Ping(ctx) == nil
	if ok || ctx.Err() != context.Canceled {
		s.setHealthy(ok)
	}
	return ok
}

// isAlive reports whether the upstream answers on a new connection right after another broke; if so it has not crashed.
func (s *Server) isAlive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return s.opts.Upstream.Ping(ctx) == nil
}

// probe pings the upstream while it is unhealthy.
func (s *Server) probe(ctx context.Context) {
	every(ctx, probeInterval, func() {
		if !s.health.healthy() {
			s.ping(ctx)
		}
	})
}

// poll reads the upstream's load report, and the engine's state and cache events, at each pollInterval.
func (s *Server) poll(ctx context.Context) {
	s.pollOnce(ctx)
	every(ctx, pollInterval, func() { s.pollOnce(ctx) })
}

// pollOnce makes one round of poll.
func (s *Server) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if l, err := s.opts.Upstream.Load(ctx); err == nil {
		s.health.setLoad(l)
	}
	if s.opts.Engine == nil {
		return
	}
	state, err := s.opts.Engine.State(ctx)
	if err != nil {
		s.cacheEvents.Reset() // an engine that restarted has an empty cache
		return
	}
	s.setModels(state)
	events, err := s.opts.Engine.CacheEvents(ctx, s.cacheEvents.Offset())
	if err == nil {
		s.cacheEvents.Add(events)
	}
}
