package serve

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/claimer"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/classify"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

const (
	outcomeGrace  = 30 * time.Second       // a dispatched action may run past its request's deadline
	resendAfter   = 500 * time.Millisecond // when the outcome of a running action may be there
	logRetryAfter = time.Second            // when the log may be back
)

// act runs an action under a claim.
func (c *call) act() error {
	if err := c.s.checkAction(c.req.GetAction().GetService(), c.req.GetAction().GetKey()); err != nil {
		return c.giveUp(err)
	}
	for {
		err, again := c.actOnce()
		if !again {
			return err
		}
	}
}

// checkAction refuses a key out of its window, and any action of a pool that runs none.
func (s *Server) checkAction(service, key string) error {
	if s.window == nil || service != s.opts.Pool.Name {
		return fault.New(fault.NotRun, fault.BadRequest, "pool %q does not run the actions of %q", s.opts.Pool.Name, service)
	}
	minted, ok := ident.MintTime(key)
	now := s.opts.Now()
	switch {
	case !ok:
		return fault.New(fault.NotRun, fault.BadRequest, "key %.40q is not a UUIDv7", key)
	case minted.After(now.Add(timing.ClockSkew)):
		return fault.New(fault.NotRun, fault.BadRequest, "key was minted in the future")
	case now.Sub(minted) > timing.ActionWindow:
		return fault.New(fault.MayHaveRun, fault.KeyExpired, "key is older than %s", timing.ActionWindow)
	}
	return nil
}

// actOnce claims the action once; again asks for another claim, as this one is dead and the key is free.
func (c *call) actOnce() (err error, again bool) {
	e, known, err := c.look()
	if err != nil {
		return c.giveUp(err), false
	}
	if known && (e.State != claim.Free || e.Body != claim.BodyHash{} && e.Body != c.body()) {
		return c.existing(e), false
	}
	run := c.s.window.Begin(claimer.Request{Key: c.key(), BodyDigest: c.bodyDigest(), Until: c.deadline})
	pass, e, granted, err := c.claim(run)
	if err != nil {
		return c.forgo(run, err), false
	}
	if !granted {
		pass.Abandon()
		run.GiveUp()
		if e.State == claim.Free && e.Body == c.body() {
			return nil, true
		}
		return c.existing(e), false
	}
	return c.runClaimed(run, pass), false
}

// look waits for the log and returns what is known of the action; a claim of another is looked up afresh.
func (c *call) look() (claim.Entry, bool, error) {
	w := c.s.window
	for {
		if err := w.WaitUp(c.ctx); err != nil {
			return claim.Entry{}, false, c.noLog(err)
		}
		if minted, _ := ident.MintTime(c.key().Key); w.Forgotten(minted) {
			return claim.Entry{}, false, fault.New(fault.MayHaveRun, fault.KeyExpired, "key is older than what the log kept")
		}
		e, known := w.Peek(c.key())
		if e.State != claim.Claimed {
			return e, known, nil
		}
		e, known, err := w.Look(c.ctx, c.key())
		if errors.Is(err, claimer.ErrDown) {
			continue
		}
		if err != nil {
			return e, known, c.noLog(err)
		}
		return e, known, nil
	}
}

// claim enters the gate and appends the claim; while the log is down the call holds no place at the upstream.
func (c *call) claim(run *claimer.Run) (gate.Permit, claim.Entry, bool, error) {
	for {
		if err := c.s.window.WaitUp(c.ctx); err != nil {
			return gate.Permit{}, claim.Entry{}, false, c.noLog(err)
		}
		pass, err := c.admit()
		if err != nil {
			return pass, claim.Entry{}, false, err
		}
		e, granted, err := run.Wait(c.ctx)
		if err == nil {
			return pass, e, granted, nil
		}
		pass.Abandon()
		if !errors.Is(err, claimer.ErrDown) {
			return pass, e, false, c.noLog(err)
		}
	}
}

// forgo gives up a claim before dispatch: first the run is forbidden here, then the caller is told,
// and the release follows when the log takes it.
func (c *call) forgo(run *claimer.Run, err error) error {
	if !c.flight.Forbid() {
		return c.fail(err)
	}
	run.GiveUp()
	return c.giveUp(err)
}

// runClaimed dispatches the action and records what became of it.
func (c *call) runClaimed(run *claimer.Run, pass gate.Permit) error {
	err := c.dispatch()
	pass.Done(gate.Result{Latency: c.paced(), Failed: isUpstreamFault(err)})
	switch {
	case err == nil:
		run.Finish(fault.Ran, c.reply.data)
	case c.sent.IsZero() || classify.Error(err).Verdict == fault.NotRun:
		run.GiveUp()
	default:
		run.Finish(fault.MayHaveRun, nil)
	}
	return c.finish(err)
}

// existing answers with what the stream says of an action that this call must not run.
func (c *call) existing(e claim.Entry) error {
	if e.State == "" {
		return c.giveUp(fault.New(fault.MayHaveRun, fault.KeyExpired, "action is not remembered any more"))
	}
	if e.Body != c.body() {
		return c.giveUp(fault.New(fault.NotRun, fault.KeyReused, "key was used with another body"))
	}
	if e.State != claim.Done {
		return c.giveUp(c.s.unfinished(e))
	}
	c.flight.Doubt()
	outcome, ok, err := c.s.window.Outcome(c.ctx, c.key(), e)
	switch {
	case err != nil:
		return c.giveUp(fault.New(fault.Ran, fault.LogDown, "action ran; its answer can't be read now").
			WithCause(err).WithRetryAfter(logRetryAfter))
	case !ok || outcome.Answer == nil:
		return c.giveUp(fault.New(fault.Ran, fault.Incomplete, "action ran; its answer was not recorded"))
	}
	return c.replay(outcome.Answer)
}

func (c *call) replay(answer []byte) error {
	c.s.counters.replayed.Add(1)
	c.s.opts.Zap.Info("replay", zap.Stringer("attempt", c.id), zap.String("key", c.key().Key))
	if err := c.reply.chunk(answer); err != nil {
		return err
	}
	return c.reply.whole(c.cost, true)
}

// unfinished is the error for an action that has no recorded outcome.
func (s *Server) unfinished(e claim.Entry) *fault.Error {
	switch e.State {
	case claim.Claimed:
		if s.running(e) {
			return fault.New(fault.MayHaveRun, fault.InProgress, "action is claimed by %s", e.Owner).
				WithRetryAfter(resendAfter)
		}
		return fault.New(fault.MayHaveRun, fault.Incomplete, "action was claimed by %s and has no outcome", e.Owner)
	case claim.Settled:
		return fault.New(e.Verdict, fault.Conflict, "%s settled the action: %s", e.Author, e.Reason)
	}
	return fault.New(fault.MayHaveRun, fault.Incomplete, "outcome of the action is unknown")
}

// running says whether the holder of a claim may still be at work.
func (s *Server) running(e claim.Entry) bool {
	return s.opts.Now().Before(e.Until.Add(outcomeGrace + timing.ClockSkew))
}

// detach lets a dispatched action run on without its caller, so that its outcome is recorded.
func (c *call) detach() {
	if c.req.GetRepeatable() {
		return
	}
	c.work, c.release = context.WithTimeout(context.WithoutCancel(c.ctx), c.remaining()+outcomeGrace)
}

// pass sends a chunk to the caller; an action goes on when its caller has gone.
func (c *call) pass(data []byte) error {
	err := c.reply.chunk(data)
	if c.req.GetRepeatable() {
		return err
	}
	c.reply.data = append(c.reply.data, data)
	return nil
}

func (c *call) noLog(err error) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.New(fault.NotRun, fault.LogDown, "action could not be claimed in time").
		WithCause(err).WithRetryAfter(logRetryAfter)
}

func (c *call) key() claim.Key {
	return claim.Key{Team: c.req.GetTeam(), Key: c.req.GetAction().GetKey()}
}

func (c *call) body() claim.BodyHash { return claim.HashBody(c.bodyDigest()) }

func (c *call) bodyDigest() string { return c.req.GetAction().GetBodyDigest() }
