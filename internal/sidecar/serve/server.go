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
	maxAttempts   = 32768            // attempts and tombstones held in memory
	maxRemaining  = 10 * time.Minute // longest time to the deadline that a call gets
	sweepInterval = 5 * time.Second
)

// Server is one incarnation of a side, from its start to its end.
type Server struct {
	sidepb.UnimplementedSideServer
	opts         Options
	attempts     *inflight.Table
	hub          *watch.Hub
	claims       *claimer.Claimer // nil unless the pool runs actions
	counters     counters
	drain        drainState
	health       health
	cacheEvents  *kvevents.Recent
	reruns       *retry.Budget
	loadedModels atomic.Pointer[[]string]
	pool         atomic.Pointer[pool.Spec]
	digest       atomic.Pointer[string] // of the configuration
	revision     atomic.Int64
	offset       atomic.Int64
}

// New returns a server whose calls work only while Run is running.
func New(opts Options) (*Server, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Server{
		opts:        opts,
		attempts:    inflight.New(maxAttempts),
		hub:         watch.New(),
		cacheEvents: kvevents.New(),
		reruns:      retry.New(0),
	}
	s.drain.init()
	s.health.init()
	s.pool.Store(&opts.Pool)
	s.digest.Store(new(string))
	if opts.Pool.Kind == pool.Service {
		s.claims = claimer.New(claimer.Options{
			Log:     opts.Log,
			Service: opts.Pool.Name,
			Owner:   opts.Incarnation,
			Now:     opts.Now,
			Zap:     opts.Zap,
		})
	}
	return s, nil
}

// Run does the server's background work until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.sweep(ctx) })
	wg.Go(func() { s.probe(ctx) })
	wg.Go(func() { s.poll(ctx) })
	wg.Go(func() { s.awaitDrain(ctx) })
	if s.claims != nil {
		wg.Go(func() { s.claims.Run(ctx) })
	}
}

// Call runs one attempt at one stage and streams the answer.
func (s *Server) Call(req *sidepb.CallRequest, out sidepb.Side_CallServer) error {
	s.counters.received.Add(1)
	s.observeVersion(req.GetRevision(), 0)
	ctx := out.Context()
	if !s.drain.addCall() {
		return s.refuse(s.newReply(req, out), fault.New(fault.NotRun, fault.Draining, "side is draining"))
	}
	defer s.drain.removeCall()
	r := s.newReply(req, out)
	c, err := s.newCall(ctx, req, r)
	if err != nil {
		return s.refuse(r, fault.From(err))
	}
	defer c.end()
	return c.run()
}

// Cancel stops an attempt, or leaves a tombstone that refuses it if it arrives later.
func (s *Server) Cancel(_ context.Context, req *sidepb.CancelRequest) (*sidepb.CancelReply, error) {
	s.counters.canceled.Add(1)
	keep := clampRemaining(time.Duration(req.GetKeepMs()) * time.Millisecond)
	now := s.opts.Now()
	verdict := s.attempts.Cancel(attemptID(req.GetId()), now, now.Add(keep))
	if req.GetId().GetIncarnation() != s.opts.Incarnation {
		// Another incarnation may have dispatched the call or may receive a late copy of it.
		verdict = fault.MayHaveRun
	}
	s.opts.Zap.Info("cancel",
		zap.Stringer("attempt", attemptID(req.GetId())),
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
	return r.sendFailure(err, "", 0, nil)
}

// sweep forgets expired attempts at each sweepInterval.
func (s *Server) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func() { s.attempts.Sweep(s.opts.Now()) })
}

// observeVersion raises the newest configuration revision and offset that this side has seen.
func (s *Server) observeVersion(revision, offset int64) {
	storeMax(&s.revision, revision)
	storeMax(&s.offset, offset)
}

// storeMax sets v to value if that is greater.
func storeMax(v *atomic.Int64, value int64) {
	for {
		old := v.Load()
		if value <= old || v.CompareAndSwap(old, value) {
			return
		}
	}
}

// crashID identifies a crash of the upstream within the deployment; it is empty for the zero Crash.
func (s *Server) crashID(c inflight.Crash) string {
	if c.Number == 0 {
		return ""
	}
	return fmt.Sprintf("%s/%s/%d", s.opts.Name, s.opts.Incarnation, c.Number)
}

// attemptID converts the identity in a message; the incarnation is not part of the result.
func attemptID(id *sidepb.Identity) ident.Attempt {
	return ident.Attempt{Request: id.GetRequestId(), Stage: id.GetStage(), Number: id.GetAttempt()}
}

// clampRemaining limits the time to a deadline to between 0 and maxRemaining.
func clampRemaining(d time.Duration) time.Duration { return min(max(d, 0), maxRemaining) }

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
