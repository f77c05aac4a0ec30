package exec

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/entry/assemble"
	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// result is the complete result of a stage.
type result struct {
	chunks   [][]byte // tokens of a generation, otherwise one JSON value
	replayed bool     // recorded outcome of an earlier run of the action
}

// attempt is one call of one upstream through its side.
type attempt struct {
	stage  *stageRun
	number uint32
	hedge  bool
	// reserved is the runner time that a hedge reserved from the budget.
	reserved time.Duration
	target   target.Target
	call     *sidepb.CallRequest
	answer   *assemble.Answer
	load     *sidepb.Load // newest load report of the side; nil before the first
	start    time.Time
}

// newAttempt returns the next attempt of the stage, on t, with its call and its still empty answer. It sends nothing.
func (s *stageRun) newAttempt(ctx context.Context, t target.Target, hedge bool) *attempt {
	s.attempts++
	a := &attempt{stage: s, number: s.attempts, hedge: hedge, target: t, start: time.Now()}
	a.call = s.newCallRequest(ctx, a)
	a.answer = assemble.New(a.call.GetId(), s.resumeTokens)
	return a
}

// run makes the call, reads the complete answer and reports how the attempt ended.
func (a *attempt) run(ctx context.Context) (result, *fault.Error) {
	f := a.exchange(ctx)
	if f == nil {
		f = a.stage.checkResult(a.answer.Chunks())
	} else if a.answer.Failure() == nil && f.Verdict != fault.NotRun {
		f = a.cancelUnfinished(ctx, f)
	}
	a.report(f)
	if f != nil {
		return result{}, f
	}
	return result{chunks: a.answer.Chunks(), replayed: a.answer.Replayed()}, nil
}

// checkResult returns an error unless a stage that does not generate returned exactly one JSON value.
func (s *stageRun) checkResult(chunks [][]byte) *fault.Error {
	if s.spec.Kind == stage.Generate {
		return nil
	}
	if len(chunks) != 1 || !json.Valid(chunks[0]) {
		return fault.New(fault.Ran, fault.Malformed, "the result of stage %q is not one JSON value", s.spec.Name)
	}
	return nil
}

// exchange sends the call and handles frames until the answer is complete, the attempt fails or the stream has been
// silent for timing.CallSilenceTimeout.
func (a *attempt) exchange(ctx context.Context) *fault.Error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := a.target.Side.Call(callCtx, a.call)
	if err != nil {
		return transportError(err)
	}
	frames := receiveFrames(callCtx, stream)
	silence := time.NewTimer(timing.CallSilenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return contextError(ctx, fault.MayHaveRun)
		case <-silence.C:
			a.stage.run.executor.router.Suspect(a.target.Name)
			return fault.New(fault.MayHaveRun, fault.Silent,
				"side of %s sent nothing for %s", a.target.Name, timing.CallSilenceTimeout)
		case received := <-frames:
			complete, f := a.handleFrame(ctx, received)
			if complete || f != nil {
				return f
			}
			silence.Reset(timing.CallSilenceTimeout)
		}
	}
}

// handleFrame handles one received frame; complete is true after the last frame of a complete answer.
func (a *attempt) handleFrame(ctx context.Context, received receivedFrame) (complete bool, f *fault.Error) {
	if received.err != nil {
		if ctx.Err() != nil {
			return false, contextError(ctx, fault.MayHaveRun)
		}
		return false, transportError(received.err)
	}
	effect, err := a.answer.Add(received.frame)
	if err != nil {
		return false, fault.From(err)
	}
	if effect == assemble.Foreign {
		a.stage.log("foreign frame dropped", zap.String("upstream", a.target.Name), zap.Any("of", received.frame.GetId()))
		return false, nil
	}
	if l := received.frame.GetLoad(); l != nil {
		a.load = l
	}
	if effect == assemble.Chunk {
		return false, a.forwardToken()
	}
	return effect == assemble.Complete, nil
}

// forwardToken sends the newest token to the caller and keeps the tokens so far, from which a retry resumes.
func (a *attempt) forwardToken() *fault.Error {
	s := a.stage
	if !s.streamsToCaller() {
		return nil
	}
	chunks := a.answer.Chunks()
	index := len(chunks) - 1
	s.resumeTokens = chunks
	if err := s.run.sink.Token(uint64(index), chunks[index]); err != nil {
		return fault.New(fault.MayHaveRun, fault.Canceled, "the caller went away").WithCause(err)
	}
	return nil
}

// report passes the end of the attempt to the router, the policy and the observer.
func (a *attempt) report(f *fault.Error) {
	s := a.stage
	v := fault.Ran
	if f != nil {
		v = f.Verdict
		s.log("attempt failed", zap.String("upstream", a.target.Name), zap.Uint32("attempt", a.number),
			zap.String("verdict", string(v)), zap.String("code", string(f.Code)), zap.String("message", f.Error()))
	}
	s.run.recordVerdict(s.spec, v)
	took := time.Since(a.start)
	a.target.Done(target.Report{Took: took, Load: a.load, Fault: f, Cached: a.answer.Cost().GetCachedTokens() > 0})
	s.run.executor.policy.Observe(s.info(),
		AttemptResult{Fault: f, Hedge: a.hedge, Took: took, Runner: a.runnerTime(), Load: a.load})
	if a.hedge {
		s.run.executor.policy.SettleHedge(a.reserved, a.runnerTime())
	}
	if a.answer.Failure().GetCrashed() {
		s.run.executor.observer.Crashed(Crash{
			ID:          a.answer.Failure().GetCrash(),
			Fingerprint: s.run.req.Fingerprint,
			InFlight:    a.answer.Failure().GetInFlight(),
		})
	}
	if v != fault.NotRun {
		s.run.addCost(a.cost(f != nil))
	}
}

// runnerTime is the time that the upstream spent according to the side; 0 without a report.
func (a *attempt) runnerTime() time.Duration {
	return time.Duration(a.answer.Cost().GetRunnerMs()) * time.Millisecond
}

// cost returns the cost that the side reported; wasted says that the result of the attempt is not used.
func (a *attempt) cost(wasted bool) Cost {
	c := a.answer.Cost()
	return Cost{
		Stage:         a.stage.spec.Name,
		Kind:          a.stage.spec.Kind,
		RunnerMs:      c.GetRunnerMs(),
		Tokens:        c.GetTokens(),
		PrefillTokens: c.GetPrefillTokens(),
		CachedTokens:  c.GetCachedTokens(),
		Retry:         a.number > 1 && !a.hedge,
		Hedge:         a.hedge,
		Wasted:        wasted,
	}
}

// transportError returns the error of a broken connection. Its verdict is MayHaveRun, as the side's progress is
// unknown, unless err already carries a *fault.Error of the connection.
func transportError(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, io.EOF) {
		return fault.New(fault.MayHaveRun, fault.Incomplete, "the answer ended before it was whole")
	}
	return fault.New(fault.MayHaveRun, fault.Transport, "connection to the side failed").WithCause(err)
}

// receivedFrame is a frame or the error that ended the stream.
type receivedFrame struct {
	frame *sidepb.CallFrame
	err   error
}

// receiveFrames reads a stream into an unbuffered channel until it ends or ctx is done, so that a slow reader applies
// backpressure to the side.
func receiveFrames(ctx context.Context, stream grpc.ServerStreamingClient[sidepb.CallFrame]) <-chan receivedFrame {
	out := make(chan receivedFrame)
	go func() {
		for {
			f, err := stream.Recv()
			select {
			case out <- receivedFrame{frame: f, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}
