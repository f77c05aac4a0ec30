package serve

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/retry"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/claimer"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/inflight"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/kvevents"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/watch"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	maxRemembered = 32768            // attempts and tombstones
	maxRemaining  = 10 * time.Minute // bounds what a call may ask for
	sweepInterval = 5 * time.Second
)

// Server is one incarnation of a side.
type Server struct {
	sidepb.UnimplementedSideServer
	opts     Options
	flights  *inflight.Table
	hub      *watch.Hub
	window   *claimer.Claimer // nil unless the pool runs actions
	counters counters
	drain    drain
	health   health
	warm     *kvevents.Recent
	reruns   *retry.Budget
	engine   atomic.Pointer[[]string]
	pool     atomic.Pointer[pool.Spec]
	digest   atomic.Pointer[string] // of the configuration
	revision atomic.Int64
	offset   atomic.Int64
}

// New returns a side that serves once Run is called.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:    opts,
		flights: inflight.New(maxRemembered),
		hub:     watch.New(),
		warm:    kvevents.New(),
		reruns:  retry.New(0),
	}
	s.drain.init()
	s.health.init()
	s.pool.Store(&opts.Pool)
	s.digest.Store(new(string))
	if opts.Pool.Kind == pool.Service {
		s.window = claimer.New(claimer.Options{
			Log:     opts.Log,
			Service: opts.Pool.Name,
			Owner:   opts.Incarnation,
			Now:     opts.Now,
			Zap:     opts.Zap,
		})
	}
	return s, nil
}

// Run does the side's background work until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.sweep(ctx) })
	wg.Go(func() { s.probe(ctx) })
	wg.Go(func() { s.poll(ctx) })
	wg.Go(func() { s.drained(ctx) })
	if s.window != nil {
		wg.Go(func() { s.window.Run(ctx) })
	}
}

// Call runs one attempt of one stage.
func (s *Server) Call(req *sidepb.CallRequest, out sidepb.Side_CallServer) error {
	s.counters.received.Add(1)
	s.learn(req.GetRevision(), 0)
	ctx := out.Context()
	if !s.drain.enter() {
		return s.refuse(s.newReply(req, out), fault.New(fault.NotRun, fault.Draining, "side is draining"))
	}
	defer s.drain.leave()
	r := s.newReply(req, out)
	c, err := s.newCall(ctx, req, r)
	if err != nil {
		return s.refuse(r, fault.From(err))
	}
	defer c.end()
	return c.run()
}

// Cancel stops an attempt and leaves a tombstone.
func (s *Server) Cancel(_ context.Context, req *sidepb.CancelRequest) (*sidepb.CancelReply, error) {
	s.counters.canceled.Add(1)
	keep := clamp(time.Duration(req.GetKeepMs()) * time.Millisecond)
	now := s.opts.Now()
	verdict := s.flights.Cancel(attemptOf(req.GetId()), now, now.Add(keep))
	if req.GetId().GetIncarnation() != s.opts.Incarnation {
		// Another incarnation may have dispatched the call, or may get a late copy of it.
		verdict = fault.MayHaveRun
	}
	s.opts.Zap.Info("cancel",
		zap.Stringer("attempt", attemptOf(req.GetId())),
		zap.String("verdict", string(verdict)))
	return &sidepb.CancelReply{Verdict: string(verdict)}, nil
}

// refuse answers a call that was not dispatched.
func (s *Server) refuse(r *reply, err *fault.Error) error {
	switch err.Code {
	case fault.InProgress:
		s.counters.duplicates.Add(1)
	case fault.Tombstoned:
		s.counters.tombstoned.Add(1)
	}
	if err.Verdict == fault.NotRun {
		s.counters.refused.Add(1)
	}
	s.opts.Zap.Info("refuse",
		zap.String("request", r.id.GetRequestId()),
		zap.String("stage", r.id.GetStage()),
		zap.Uint32("attempt", r.id.GetAttempt()),
		zap.String("verdict", string(err.Verdict)),
		zap.String("code", string(err.Code)),
		zap.Duration("retryAfter", err.RetryAfter),
		zap.String("message", err.Message))
	return r.failure(err, "", 0, nil)
}

func (s *Server) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func() { s.flights.Sweep(s.opts.Now()) })
}

// learn raises the newest revision and configuration offset heard of.
func (s *Server) learn(revision, offset int64) {
	raise(&s.revision, revision)
	raise(&s.offset, offset)
}

func raise(v *atomic.Int64, to int64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
			return
		}
	}
}

// crashID names a crash of the upstream across the deployment; empty without one.
func (s *Server) crashID(c inflight.Crash) string {
	if c.Number == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%s/%d", s.opts.Name, s.opts.Incarnation, c.Number)
}

func attemptOf(id *sidepb.Identity) ident.Attempt {
	return ident.Attempt{Request: id.GetRequestId(), Stage: id.GetStage(), Number: id.GetAttempt()}
}

func clamp(d time.Duration) time.Duration { return min(max(d, 0), maxRemaining) }

// every calls f at each tick until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
