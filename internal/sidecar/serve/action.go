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
	// outcomeGrace is how long a dispatched action may run past the deadline of its request.
	outcomeGrace         = 30 * time.Second
	inProgressRetryAfter = 500 * time.Millisecond // by then a running action may have its outcome
	logDownRetryAfter    = time.Second            // by then the log may be available again
)

// runAction runs an action under a claim.
func (c *call) runAction() error {
	if err := c.s.checkAction(c.req.GetAction().GetService(), c.req.GetAction().GetKey()); err != nil {
		return c.failUndispatched(err)
	}
	for {
		err, retry := c.tryAction()
		if !retry {
			return err
		}
	}
}

// checkAction refuses keys minted in the future or longer than timing.ActionWindow ago, and every action that is not of
// this side's service pool.
func (s *Server) checkAction(service, key string) error {
	if s.claims == nil || service != s.opts.Pool.Name {
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

// tryAction claims the action once. It returns retry when the claim was lost but the key is free again, so that the
// caller can try another claim.
func (c *call) tryAction() (err error, retry bool) {
	e, known, err := c.lookUpAction()
	if err != nil {
		return c.failUndispatched(err), false
	}
	if known && (e.State != claim.Free || e.Body != claim.BodyHash{} && e.Body != c.body()) {
		return c.answerExisting(e), false
	}
	run := c.s.claims.Begin(claimer.Request{Key: c.key(), BodyDigest: c.bodyDigest(), Until: c.deadline})
	permit, e, granted, err := c.claimAction(run)
	if err != nil {
		return c.abandonClaim(run, err), false
	}
	if !granted {
		permit.Abandon()
		run.Release()
		if e.State == claim.Free && e.Body == c.body() {
			return nil, true
		}
		return c.answerExisting(e), false
	}
	return c.runClaimed(run, permit), false
}

// lookUpAction waits for the log and returns the state of the action. A claim of another attempt may have ended since
// the last read, so then the stream is read again.
func (c *call) lookUpAction() (claim.Entry, bool, error) {
	stream := c.s.claims
	for {
		if err := stream.WaitAvailable(c.ctx); err != nil {
			return claim.Entry{}, false, c.claimError(err)
		}
		if minted, _ := ident.MintTime(c.key().Key); stream.Forgotten(minted) {
			return claim.Entry{}, false, fault.New(fault.MayHaveRun, fault.KeyExpired, "key is older than what the log kept")
		}
		e, known := stream.CachedState(c.key())
		if e.State != claim.Claimed {
			return e, known, nil
		}
		e, known, err := stream.ReadState(c.ctx, c.key())
		if errors.Is(err, claimer.ErrUnavailable) {
			continue
		}
		if err != nil {
			return e, known, c.claimError(err)
		}
		return e, known, nil
	}
}

// claimAction passes the gate and appends the claim. While the log is unavailable it gives its permit back, so that
// waiting actions take no concurrency from other calls.
func (c *call) claimAction(run *claimer.Run) (gate.Permit, claim.Entry, bool, error) {
	for {
		if err := c.s.claims.WaitAvailable(c.ctx); err != nil {
			return gate.Permit{}, claim.Entry{}, false, c.claimError(err)
		}
		permit, err := c.admit()
		if err != nil {
			return permit, claim.Entry{}, false, err
		}
		e, granted, err := run.Wait(c.ctx)
		if err == nil {
			return permit, e, granted, nil
		}
		permit.Abandon()
		if !errors.Is(err, claimer.ErrUnavailable) {
			return permit, e, false, c.claimError(err)
		}
	}
}

// abandonClaim ends a claim before dispatch. It forbids the dispatch here first, so that the release is safe, and
// answers the caller without waiting for the log to accept the release.
func (c *call) abandonClaim(run *claimer.Run, err error) error {
	if !c.attempt.Forbid() {
		return c.failDispatched(err)
	}
	run.Release()
	return c.failUndispatched(err)
}

// runClaimed dispatches the action and records its outcome.
func (c *call) runClaimed(run *claimer.Run, permit gate.Permit) error {
	err := c.dispatch()
	permit.Done(gate.Result{Latency: c.gateLatency(), Failed: isUpstreamFault(err)})
	switch {
	case err == nil:
		run.Finish(fault.Ran, c.reply.data)
	case c.dispatchedAt.IsZero() || classify.Error(err).Verdict == fault.NotRun:
		run.Release()
	default:
		run.Finish(fault.MayHaveRun, nil)
	}
	return c.finish(err)
}

// answerExisting answers a call that must not run its action from the state in the action stream.
func (c *call) answerExisting(e claim.Entry) error {
	if e.State == "" {
		return c.failUndispatched(fault.New(fault.MayHaveRun, fault.KeyExpired, "action is not remembered any more"))
	}
	if e.Body != c.body() {
		return c.failUndispatched(fault.New(fault.NotRun, fault.KeyReused, "key was used with another body"))
	}
	if e.State != claim.Done {
		return c.failUndispatched(c.s.unfinishedError(e))
	}
	c.attempt.MarkInDoubt()
	outcome, ok, err := c.s.claims.Outcome(c.ctx, c.key(), e)
	switch {
	case err != nil:
		return c.failUndispatched(fault.New(fault.Ran, fault.LogDown, "action ran; its answer can't be read now").
			WithCause(err).WithRetryAfter(logDownRetryAfter))
	case !ok || outcome.Answer == nil:
		return c.failUndispatched(fault.New(fault.Ran, fault.Incomplete, "action ran; its answer was not recorded"))
	}
	return c.replay(outcome.Answer)
}

// replay sends the recorded answer of an action.
func (c *call) replay(answer []byte) error {
	c.s.counters.replayed.Add(1)
	c.s.opts.Zap.Info("recorded answer replayed", zap.Stringer("attempt", c.id), zap.String("key", c.key().Key))
	if err := c.reply.sendChunk(answer); err != nil {
		return err
	}
	return c.reply.sendWhole(c.cost, true)
}

// unfinishedError is the error for an action that has no recorded outcome.
func (s *Server) unfinishedError(e claim.Entry) *fault.Error {
	switch e.State {
	case claim.Claimed:
		if s.mayBeRunning(e) {
			return fault.New(fault.MayHaveRun, fault.InProgress, "action is claimed by %s", e.Owner).
				WithRetryAfter(inProgressRetryAfter)
		}
		return fault.New(fault.MayHaveRun, fault.Incomplete, "action was claimed by %s and has no outcome", e.Owner)
	case claim.Settled:
		return fault.New(e.Verdict, fault.Conflict, "%s settled the action: %s", e.Author, e.Reason)
	}
	return fault.New(fault.MayHaveRun, fault.Incomplete, "outcome of the action is unknown")
}

// mayBeRunning reports whether the holder of a claim may still be running the action.
func (s *Server) mayBeRunning(e claim.Entry) bool {
	return s.opts.Now().Before(e.Until.Add(outcomeGrace + timing.ClockSkew))
}

// detach makes the upstream call of a dispatched action independent of its caller, so that its outcome is recorded even
// if the caller leaves.
func (c *call) detach() {
	if c.req.GetRepeatable() {
		return
	}
	c.upstreamCtx, c.cancelUpstream = context.WithTimeout(context.WithoutCancel(c.ctx), c.remaining()+outcomeGrace)
}

// forwardChunk sends a chunk to the caller. An action goes on if that fails; its chunks are kept for its outcome.
func (c *call) forwardChunk(data []byte) error {
	err := c.reply.sendChunk(data)
	if c.req.GetRepeatable() {
		return err
	}
	c.reply.data = append(c.reply.data, data)
	return nil
}

// claimError is the error for an action that could not be claimed; err comes from the claimer or the call's context.
func (c *call) claimError(err error) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.New(fault.NotRun, fault.LogDown, "action could not be claimed in time").
		WithCause(err).WithRetryAfter(logDownRetryAfter)
}

// key identifies the call's action in the action stream.
func (c *call) key() claim.Key {
	return claim.Key{Team: c.req.GetTeam(), Key: c.req.GetAction().GetKey()}
}

// body is the hash of the action's body, by which a claim tells whether a key is reused with another body.
func (c *call) body() claim.BodyHash { return claim.HashBody(c.bodyDigest()) }

func (c *call) bodyDigest() string { return c.req.GetAction().GetBodyDigest() }
