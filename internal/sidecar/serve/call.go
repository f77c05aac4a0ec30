package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/limit/retry"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/classify"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/inflight"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/relay"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const maxReruns = 1 // reruns of a repeatable call whose connection went silent

var (
	errNoAnswer   = errors.New("no answer within the progress timeout")
	errCallerGone = errors.New("caller went away before the call was sent")
)

// call is one attempt in progress at the side.
type call struct {
	s              *Server
	req            *sidepb.CallRequest
	id             ident.Attempt
	ctx            context.Context
	cancel         context.CancelFunc
	upstreamCtx    context.Context // of the upstream call; outlives the caller's for actions
	cancelUpstream context.CancelFunc
	arrivedAt      time.Time
	deadline       time.Time
	attempt        *inflight.Record
	reply          *reply
	dispatchedAt   time.Time
	firstChunkAt   time.Time
	lastChunkAt    time.Time
	reruns         int
	cost           *sidepb.Cost
	connBroken     bool // the connection to the upstream broke during the call
	crashed        bool // the upstream did not answer on a new connection either
	crash          inflight.Crash
}

// newCall validates a request and registers its attempt; a request that is not valid leaves no record of its attempt.
func (s *Server) newCall(ctx context.Context, req *sidepb.CallRequest, r *reply) (*call, error) {
	if err := s.validate(req); err != nil {
		return nil, err
	}
	now := s.opts.Now()
	remaining := clampRemaining(time.Duration(req.GetRemainingMs()) * time.Millisecond)
	c := &call{
		s:         s,
		req:       req,
		id:        attemptID(req.GetId()),
		arrivedAt: now,
		deadline:  now.Add(remaining),
		reply:     r,
		cost:      &sidepb.Cost{},
	}
	c.ctx, c.cancel = context.WithTimeout(ctx, remaining)
	c.upstreamCtx, c.cancelUpstream = c.ctx, func() {}
	record, err := s.attempts.Begin(c.id, now, c.deadline, c.cancel)
	if err != nil {
		c.cancel()
		return nil, err
	}
	c.attempt = record
	r.startHeartbeat(c.ctx)
	return c, nil
}

// validate makes only checks that fail for every copy of the call alike, as a refused attempt is not remembered.
func (s *Server) validate(req *sidepb.CallRequest) error {
	id := req.GetId()
	if id.GetRequestId() == "" || id.GetStage() == "" {
		return fault.New(fault.NotRun, fault.BadRequest, "call has no identity")
	}
	if in := id.GetIncarnation(); in != "" && in != s.opts.Incarnation {
		return fault.New(fault.NotRun, fault.WrongTarget, "call is meant for incarnation %q", in)
	}
	if req.GetRemainingMs() <= max(req.GetEstimateMs(), 0) {
		return fault.New(fault.NotRun, fault.TooLate, "%d ms remain and the stages after this one need %d ms",
			req.GetRemainingMs(), req.GetEstimateMs())
	}
	if !req.GetRepeatable() && req.GetAction().GetKey() == "" {
		return fault.New(fault.NotRun, fault.BadRequest, "call that must not be repeated has no key")
	}
	return nil
}

// end releases what the call holds.
func (c *call) end() {
	c.attempt.Finish()
	c.reply.close()
	c.cancelUpstream()
	c.cancel()
}

// run admits and dispatches the call and sends its last frame.
func (c *call) run() error {
	if c.req.GetAction() != nil && !c.req.GetRepeatable() {
		return c.runAction()
	}
	permit, err := c.admit()
	if err != nil {
		return c.failUndispatched(err)
	}
	err = c.dispatch()
	permit.Done(gate.Result{Latency: c.gateLatency(), Failed: isUpstreamFault(err)})
	return c.finish(err)
}

// finish sends the last frame, which is an error frame unless err is nil.
func (c *call) finish(err error) error {
	switch {
	case err == nil:
		c.s.counters.completed.Add(1)
		c.s.reruns.Succeeded()
		c.s.health.observeLatency(c.latency())
		return c.reply.sendWhole(c.cost, false)
	case c.dispatchedAt.IsZero():
		return c.failUndispatched(err)
	}
	return c.failDispatched(err)
}

// admit waits for a permit of the gate.
func (c *call) admit() (gate.Permit, error) {
	s := c.s
	permit, err := s.opts.Gate.Acquire(c.ctx, gate.Call{
		Team:        c.req.GetTeam(),
		Weight:      c.req.GetWeight(),
		SizeClass:   pipe.SizeClass(c.req.GetSizeClass()),
		Remaining:   c.remaining(),
		LaterStages: time.Duration(c.req.GetEstimateMs()) * time.Millisecond,
		Priority:    c.req.GetPriority(),
		Exclusive:   c.req.GetAlone(),
	})
	if err != nil {
		return permit, err
	}
	s.counters.admitted.Add(1)
	s.opts.Zap.Info("admit",
		zap.Stringer("attempt", c.id),
		zap.String("team", c.req.GetTeam()),
		zap.Duration("queued", permit.Waited()),
		zap.Int("running", s.attempts.Running()),
		zap.Int("limit", s.opts.Gate.Load().Limit),
		zap.Bool("alone", c.req.GetAlone()))
	return permit, nil
}

// dispatch sends the call to the upstream and relays its answer.
func (c *call) dispatch() error {
	if c.remaining() <= 0 {
		return fault.New(fault.NotRun, fault.TooLate, "deadline passed before dispatch")
	}
	if !c.attempt.Dispatch() {
		return fault.New(fault.NotRun, fault.Canceled, "attempt was canceled before dispatch")
	}
	c.dispatchedAt = c.s.opts.Now()
	c.s.counters.dispatched.Add(1)
	c.detach()
	if err := c.reply.sendStarted(c.dispatchedAt.Sub(c.arrivedAt)); err != nil {
		return &upstream.Error{Op: "call", NotSent: true, Cause: errCallerGone}
	}
	err := c.relay()
	if err != nil && classify.Error(err).Code == fault.Crashed {
		c.checkCrash()
	}
	return err
}

// checkCrash records a possible crash and pings the upstream to tell it from a broken connection.
// It must run before the call gives its permit back, so that the next call to be admitted is not counted as in flight.
func (c *call) checkCrash() {
	c.crash = c.attempt.RecordCrash()
	c.connBroken = true
	c.crashed = !c.s.isAlive()
}

// relay sends the call and forwards its answer.
// A call whose connection goes silent before the first chunk is sent again on a new connection, up to maxReruns times.
func (c *call) relay() error {
	for {
		err := c.relayOnce(c.reruns)
		if !isSilent(err) {
			return err
		}
		c.s.counters.silentConnections.Add(1)
		alive := c.s.ping(c.upstreamCtx)
		rerun := alive && c.reply.chunks == 0 && c.reruns < maxReruns && c.mayRerun()
		c.s.opts.Zap.Info("silent",
			zap.Stringer("attempt", c.id),
			zap.Bool("upstreamAlive", alive),
			zap.Bool("rerun", rerun))
		if !rerun {
			return err
		}
		c.reruns++
		c.s.counters.rerunCalls.Add(1)
	}
}

// mayRerun asks the side's retry budget, which also counts the retries of the hops before.
func (c *call) mayRerun() bool {
	return c.s.reruns.Decide(retry.Failure{
		Err:        fault.New(fault.MayHaveRun, fault.Silent, "no progress"),
		Repeatable: c.req.GetRepeatable(),
		Retries:    c.req.GetRetries(),
		Remaining:  c.remaining(),
	}).Again
}

// relayOnce sends the call once and forwards the answer to its end; run is the number of reruns before.
func (c *call) relayOnce(run int) error {
	ctx, cancel := context.WithCancelCause(c.upstreamCtx)
	defer cancel(nil)
	id := c.upstreamID(run)
	stream, err := c.open(ctx, cancel, id)
	if err != nil {
		return err
	}
	defer stream.Close()
	first := c.reply.digest.Count()
	r := relay.New(stream, id, first, c.s.progressTimeout(), func() { c.s.counters.strayAnswers.Add(1) })
	for {
		e, err := r.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.recordEvent(e)
		if err := c.forwardChunk(e.Data); err != nil {
			return err
		}
	}
}

// open sends the call and returns its answer. An upstream that does not begin to answer within the progress timeout
// gives an *upstream.Error with Silent set.
func (c *call) open(ctx context.Context, cancel context.CancelCauseFunc, id string) (upstream.Stream, error) {
	timer := time.AfterFunc(c.s.progressTimeout(), func() { cancel(errNoAnswer) })
	defer timer.Stop()
	stream, err := c.s.opts.Upstream.Call(ctx, upstream.Call{
		ID:        id,
		Kind:      c.req.GetKind(),
		Model:     c.req.GetModel(),
		Body:      c.req.GetBody(),
		MaxTokens: c.req.GetMaxTokens(),
		Held:      c.req.GetHeld(),
		Priority:  c.req.GetPriority(),
		Key:       c.req.GetAction().GetKey(),
	})
	if err != nil && context.Cause(ctx) == errNoAnswer {
		return nil, &upstream.Error{Op: "call", Silent: true, Cause: errNoAnswer}
	}
	return stream, err
}

// recordEvent adds an event to the cost of the call.
func (c *call) recordEvent(e upstream.Event) {
	c.lastChunkAt = c.s.opts.Now()
	if c.cost.Tokens == 0 {
		c.firstChunkAt = c.lastChunkAt
		c.s.setHealthy(true)
	}
	c.cost.Tokens++
	c.cost.PrefillTokens += e.PrefillTokens
	c.cost.CachedTokens += e.CachedTokens
	c.cost.RunnerMs = c.latency().Milliseconds()
}

// failUndispatched ends a call that this side did not dispatch. It leaves the attempt forbidden if the verdict is
// NotRun and in doubt otherwise, so that later copies of the call get the same verdict.
func (c *call) failUndispatched(err error) error {
	f := undispatchedFault(err)
	if f.Verdict == fault.NotRun && !c.attempt.Forbid() {
		f = f.WithVerdict(fault.MayHaveRun)
	}
	if f.Verdict != fault.NotRun {
		c.attempt.MarkInDoubt()
	}
	return c.s.refuse(c.reply, f)
}

// failDispatched ends a call that failed after dispatch.
func (c *call) failDispatched(err error) error {
	f := classify.Error(err)
	if c.reruns > 0 {
		// The run on the silent connection may have happened, whatever the result of the rerun.
		f = f.WithVerdict(fault.MayHaveRun)
	}
	var crash inflight.Crash
	switch {
	case c.crashed:
		crash = c.crash
		c.s.counters.crashes.Add(1)
		c.s.cacheEvents.Reset()
		c.s.setHealthy(false)
	case c.connBroken:
		f = fault.New(f.Verdict, fault.Transport, "connection to the upstream broke, and it answers on a new one").
			WithCause(err)
	}
	c.s.counters.failed.Add(1)
	c.cost.RunnerMs = c.latency().Milliseconds()
	c.s.opts.Zap.Info("fail",
		zap.Stringer("attempt", c.id),
		zap.String("verdict", string(f.Verdict)),
		zap.String("code", string(f.Code)),
		zap.Int("inFlight", crash.InFlight),
		zap.Error(err))
	return c.reply.sendFailure(f, c.s.crashID(crash), uint32(crash.InFlight), c.cost)
}

// remaining is the time to the call's deadline.
func (c *call) remaining() time.Duration { return c.deadline.Sub(c.s.opts.Now()) }

// latency is the time since dispatch, 0 before it.
func (c *call) latency() time.Duration {
	if c.dispatchedAt.IsZero() {
		return 0
	}
	return c.s.opts.Now().Sub(c.dispatchedAt)
}

// gateLatency is the latency that the gate compares with its target: for a generation the mean time between tokens,
// which does not depend on the length of the answer, and for other kinds the time since dispatch.
func (c *call) gateLatency() time.Duration {
	if stage.Kind(c.req.GetKind()) != stage.Generate || c.cost.GetTokens() < 2 {
		return c.latency()
	}
	return c.lastChunkAt.Sub(c.firstChunkAt) / time.Duration(c.cost.GetTokens()-1)
}

// upstreamID differs between the runs of a call, so that a late answer to an earlier run is dropped.
func (c *call) upstreamID(run int) string {
	if run == 0 {
		return c.id.String()
	}
	return fmt.Sprintf("%s/rerun%d", c.id, run)
}

// undispatchedFault returns the fault of a call that was never sent.
func undispatchedFault(err error) *fault.Error {
	var known *fault.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.NotRun, fault.TooLate, "deadline passed before dispatch")
	case errors.Is(err, context.Canceled):
		return fault.New(fault.NotRun, fault.Canceled, "attempt was canceled before dispatch")
	}
	return fault.New(fault.NotRun, fault.Internal, "call failed before dispatch").WithCause(err)
}

// isSilent reports whether the connection to the upstream made no progress within the timeout.
func isSilent(err error) bool {
	var u *upstream.Error
	return errors.As(err, &u) && u.Silent
}

// isUpstreamFault reports whether the upstream, not the caller or a deadline, made the call fail.
func isUpstreamFault(err error) bool {
	if err == nil {
		return false
	}
	switch classify.Error(err).Code {
	case fault.Crashed, fault.Upstream, fault.Transport, fault.Incomplete:
		return true
	}
	return false
}
