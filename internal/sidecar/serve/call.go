package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
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

const maxReruns = 1 // of a repeatable call whose connection went silent

var (
	errNoAnswer = errors.New("no sign of the answer within the progress bound")
	errNoCaller = errors.New("caller went away before the call was sent")
)

// call is one attempt on its way through the side.
type call struct {
	s        *Server
	req      *sidepb.CallRequest
	id       ident.Attempt
	ctx      context.Context
	stop     context.CancelFunc
	work     context.Context // bounds the upstream's work
	release  context.CancelFunc
	arrived  time.Time
	deadline time.Time
	flight   *inflight.Flight
	reply    *reply
	sent     time.Time // when it was dispatched
	began    time.Time // when the first chunk came
	last     time.Time // when the last one came
	reruns   int
	cost     *sidepb.Cost
	broken   bool // the connection to the upstream broke under the call
	crashed  bool // and the upstream with it
	crash    inflight.Crash
}

// newCall checks a call that may be refused without a trace.
func (s *Server) newCall(ctx context.Context, req *sidepb.CallRequest, r *reply) (*call, error) {
	if err := s.check(req); err != nil {
		return nil, err
	}
	now := s.opts.Now()
	remaining := clamp(time.Duration(req.GetRemainingMs()) * time.Millisecond)
	c := &call{
		s:        s,
		req:      req,
		id:       attemptOf(req.GetId()),
		arrived:  now,
		deadline: now.Add(remaining),
		reply:    r,
		cost:     &sidepb.Cost{},
	}
	c.ctx, c.stop = context.WithTimeout(ctx, remaining)
	c.work, c.release = c.ctx, func() {}
	f, err := s.flights.Begin(c.id, now, c.deadline, c.stop)
	if err != nil {
		c.stop()
		return nil, err
	}
	c.flight = f
	r.beat(c.ctx)
	return c, nil
}

// check refuses what another copy of the call would be refused for too.
func (s *Server) check(req *sidepb.CallRequest) error {
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
	c.flight.Finish()
	c.reply.close()
	c.release()
	c.stop()
}

// run takes the call through admission to its last frame.
func (c *call) run() error {
	if c.req.GetAction() != nil && !c.req.GetRepeatable() {
		return c.act()
	}
	pass, err := c.admit()
	if err != nil {
		return c.giveUp(err)
	}
	err = c.dispatch()
	pass.Done(gate.Result{Latency: c.paced(), Failed: isUpstreamFault(err)})
	return c.finish(err)
}

// finish sends the last frame.
func (c *call) finish(err error) error {
	switch {
	case err == nil:
		c.s.counters.whole.Add(1)
		c.s.reruns.Succeeded()
		c.s.health.observe(c.latency())
		return c.reply.whole(c.cost, false)
	case c.sent.IsZero():
		return c.giveUp(err)
	}
	return c.fail(err)
}

// admit waits for the gate.
func (c *call) admit() (gate.Permit, error) {
	s := c.s
	pass, err := s.opts.Gate.Acquire(c.ctx, gate.Call{
		Team:        c.req.GetTeam(),
		Weight:      c.req.GetWeight(),
		SizeClass:   pipe.SizeClass(c.req.GetSizeClass()),
		Remaining:   c.remaining(),
		LaterStages: time.Duration(c.req.GetEstimateMs()) * time.Millisecond,
		Priority:    c.req.GetPriority(),
		Exclusive:   c.req.GetAlone(),
	})
	if err != nil {
		return pass, err
	}
	s.counters.admitted.Add(1)
	s.opts.Zap.Info("admit",
		zap.Stringer("attempt", c.id),
		zap.String("team", c.req.GetTeam()),
		zap.Duration("queued", pass.Waited()),
		zap.Int("running", s.flights.Running()),
		zap.Int("limit", s.opts.Gate.Load().Limit),
		zap.Bool("alone", c.req.GetAlone()))
	return pass, nil
}

// dispatch sends the call and relays its answer.
func (c *call) dispatch() error {
	if c.remaining() <= 0 {
		return fault.New(fault.NotRun, fault.TooLate, "deadline passed before dispatch")
	}
	if !c.flight.Dispatch() {
		return fault.New(fault.NotRun, fault.Canceled, "attempt was canceled before dispatch")
	}
	c.sent = c.s.opts.Now()
	c.s.counters.dispatched.Add(1)
	c.detach()
	if err := c.reply.started(c.sent.Sub(c.arrived)); err != nil {
		return &upstr.Error{Op: "call", NotSent: true, Cause: errNoCaller}
	}
	err := c.relay()
	if err != nil && classify.Error(err).Code == fault.Crashed {
		c.inspect()
	}
	return err
}

// inspect counts what was in flight when the connection broke, before the gate lets the next call in,
// and asks whether the upstream has crashed.
func (c *call) inspect() {
	c.crash = c.flight.Crashed()
	c.broken = true
	c.crashed = !c.s.alive()
}

// relay runs the call, once more on a new connection if the first went silent before any chunk.
func (c *call) relay() error {
	for {
		err := c.relayOnce(c.reruns)
		if !isSilent(err) {
			return err
		}
		c.s.counters.silences.Add(1)
		alive := c.s.ping(c.work)
		again := alive && c.reply.chunks == 0 && c.reruns < maxReruns && c.mayRerun()
		c.s.opts.Zap.Info("silent",
			zap.Stringer("attempt", c.id),
			zap.Bool("upstreamAlive", alive),
			zap.Bool("rerun", again))
		if !again {
			return err
		}
		c.reruns++
		c.s.counters.rerun.Add(1)
	}
}

// mayRerun asks the budget that bounds the side's own retries; those of the hops before count too.
func (c *call) mayRerun() bool {
	return c.s.reruns.Decide(retry.Failure{
		Err:        fault.New(fault.MayHaveRun, fault.Silent, "no progress"),
		Repeatable: c.req.GetRepeatable(),
		Retries:    c.req.GetRetries(),
		Remaining:  c.remaining(),
	}).Again
}

func (c *call) relayOnce(run int) error {
	ctx, cancel := context.WithCancelCause(c.work)
	defer cancel(nil)
	id := c.upstreamID(run)
	stream, err := c.open(ctx, cancel, id)
	if err != nil {
		return err
	}
	defer stream.Close()
	first := c.reply.digest.Count()
	r := relay.New(stream, id, first, c.s.silent(), func() { c.s.counters.strays.Add(1) })
	for {
		e, err := r.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.account(e)
		if err := c.pass(e.Data); err != nil {
			return err
		}
	}
}

// open sends the call; an upstream that does not even accept it within the progress bound is silent.
func (c *call) open(ctx context.Context, cancel context.CancelCauseFunc, id string) (upstr.Stream, error) {
	bound := time.AfterFunc(c.s.silent(), func() { cancel(errNoAnswer) })
	defer bound.Stop()
	stream, err := c.s.opts.Upstream.Call(ctx, upstr.Call{
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
		return nil, &upstr.Error{Op: "call", Silent: true, Cause: errNoAnswer}
	}
	return stream, err
}

func (c *call) account(e upstr.Event) {
	c.last = c.s.opts.Now()
	if c.cost.Tokens == 0 {
		c.began = c.last
		c.s.setHealthy(true)
	}
	c.cost.Tokens++
	c.cost.PrefillTokens += e.PrefillTokens
	c.cost.CachedTokens += e.CachedTokens
	c.cost.RunnerMs = c.latency().Milliseconds()
}

// giveUp ends a call that this side did not dispatch; what it remembers of it agrees with the verdict.
func (c *call) giveUp(err error) error {
	f := beforeDispatch(err)
	if f.Verdict == fault.NotRun && !c.flight.Forbid() {
		f = f.WithVerdict(fault.MayHaveRun)
	}
	if f.Verdict != fault.NotRun {
		c.flight.Doubt()
	}
	return c.s.refuse(c.reply, f)
}

// fail ends a call after dispatch.
func (c *call) fail(err error) error {
	f := classify.Error(err)
	if c.reruns > 0 {
		// The run on the silent connection may have happened, whatever became of this one.
		f = f.WithVerdict(fault.MayHaveRun)
	}
	var crash inflight.Crash
	switch {
	case c.crashed:
		crash = c.crash
		c.s.counters.crashes.Add(1)
		c.s.warm.Reset()
		c.s.setHealthy(false)
	case c.broken:
		f = fault.New(f.Verdict, fault.Transport, "connection to the upstream broke, and it answers on a new one").WithCause(err)
	}
	c.s.counters.failed.Add(1)
	c.cost.RunnerMs = c.latency().Milliseconds()
	c.s.opts.Zap.Info("fail",
		zap.Stringer("attempt", c.id),
		zap.String("verdict", string(f.Verdict)),
		zap.String("code", string(f.Code)),
		zap.Int("inFlight", crash.InFlight),
		zap.Error(err))
	return c.reply.failure(f, c.s.crashID(crash), uint32(crash.InFlight), c.cost)
}

func (c *call) remaining() time.Duration { return c.deadline.Sub(c.s.opts.Now()) }

func (c *call) latency() time.Duration {
	if c.sent.IsZero() {
		return 0
	}
	return c.s.opts.Now().Sub(c.sent)
}

// paced is the latency that the concurrency limit is held to: the mean time between the tokens of a generation, which does
// not depend on how long the answer is, and the time of any other call.
func (c *call) paced() time.Duration {
	if stage.Kind(c.req.GetKind()) != stage.Generate || c.cost.GetTokens() < 2 {
		return c.latency()
	}
	return c.last.Sub(c.began) / time.Duration(c.cost.GetTokens()-1)
}

// upstreamID differs for each run, so that a late answer to an earlier one is dropped.
func (c *call) upstreamID(run int) string {
	if run == 0 {
		return c.id.String()
	}
	return fmt.Sprintf("%s/rerun%d", c.id, run)
}

// beforeDispatch gives a typed error to a call that was never sent.
func beforeDispatch(err error) *fault.Error {
	var f *fault.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.NotRun, fault.TooLate, "deadline passed before dispatch")
	case errors.Is(err, context.Canceled):
		return fault.New(fault.NotRun, fault.Canceled, "attempt was canceled before dispatch")
	}
	return fault.New(fault.NotRun, fault.Internal, "call failed before dispatch").WithCause(err)
}

func isSilent(err error) bool {
	var u *upstr.Error
	return errors.As(err, &u) && u.Silent
}

// isUpstreamFault says whether the upstream itself is to blame.
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
