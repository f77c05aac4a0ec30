package serve

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
)

const (
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	aliveTimeout  = 500 * time.Millisecond // of the ping that tells a crash from a broken connection
	pollInterval  = 5 * time.Second
	latencyWeight = 0.1 // of the newest call in the smoothed latency
)

// health is what the side knows of its upstream.
type health struct {
	mu       sync.Mutex
	ok       bool
	latency  time.Duration
	reported upstr.Load
}

func (h *health) init() { h.ok = true }

// set records a sign of life or its absence; true means that it changed.
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

func (h *health) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

func (h *health) report(l upstr.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported = l
}

func (h *health) look() (latency time.Duration, reported upstr.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency, h.reported
}

// setHealthy tells the watchers when the upstream's health changed.
func (s *Server) setHealthy(ok bool) {
	if s.health.set(ok) {
		s.opts.Zap.Info("upstreamHealth", zap.Bool("healthy", ok))
		s.hub.Notify()
	}
}

// ping asks the upstream for a sign of life on a new connection.
func (s *Server) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ok := s.opts.Upstream.Ping(ctx) == nil
	if ok || ctx.Err() != context.Canceled {
		s.setHealthy(ok)
	}
	return ok
}

// alive says whether the upstream answers on a new connection right after one broke; if so it has not crashed.
func (s *Server) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	return s.opts.Upstream.Ping(ctx) == nil
}

// probe pings an unhealthy upstream until it answers.
func (s *Server) probe(ctx context.Context) {
	every(ctx, probeInterval, func() {
		if !s.health.healthy() {
			s.ping(ctx)
		}
	})
}

// poll reads the upstream's own report, and the engine's state and cache events.
func (s *Server) poll(ctx context.Context) {
	s.pollOnce(ctx)
	every(ctx, pollInterval, func() { s.pollOnce(ctx) })
}

func (s *Server) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if l, err := s.opts.Upstream.Load(ctx); err == nil {
		s.health.report(l)
	}
	if s.opts.Engine == nil {
		return
	}
	state, err := s.opts.Engine.State(ctx)
	if err != nil {
		s.warm.Reset() // an engine that comes back has an empty cache
		return
	}
	s.setModels(state)
	events, err := s.opts.Engine.CacheEvents(ctx, s.warm.Offset())
	if err == nil {
		s.warm.Add(events)
	}
}
