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

// result is the whole result of a stage.
type result struct {
	chunks   [][]byte
	replayed bool
}

// attempt is one call of one side.
type attempt struct {
	step   *step
	number uint32
	hedge  bool
	// reserved is what a hedge took from the budget.
	reserved time.Duration
	target   target.Target
	call     *sidepb.CallRequest
	answer   *assemble.Answer
	load     *sidepb.Load
	start    time.Time
}

func (s *step) newAttempt(ctx context.Context, t target.Target, hedge bool) *attempt {
	s.attempts++
	a := &attempt{step: s, number: s.attempts, hedge: hedge, target: t, start: time.Now()}
	a.call = s.call(ctx, a)
	a.answer = assemble.New(a.call.GetId(), s.held)
	return a
}

// run makes the call and reads its answer to the end.
func (a *attempt) run(ctx context.Context) (result, *fault.Error) {
	f := a.exchange(ctx)
	if f == nil {
		f = a.step.wellFormed(a.answer.Chunks())
	} else if a.answer.Failure() == nil && f.Verdict != fault.NotRun {
		f = a.abandon(ctx, f)
	}
	a.report(f)
	if f != nil {
		return result{}, f
	}
	return result{chunks: a.answer.Chunks(), replayed: a.answer.Replayed()}, nil
}

// wellFormed wants exactly one JSON value from a stage that does not generate.
func (s *step) wellFormed(chunks [][]byte) *fault.Error {
	if s.spec.Kind == stage.Generate {
		return nil
	}
	if len(chunks) != 1 || !json.Valid(chunks[0]) {
		return fault.New(fault.Ran, fault.Malformed, "the result of stage %q is not one JSON value", s.spec.Name)
	}
	return nil
}

func (a *attempt) exchange(ctx context.Context) *fault.Error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := a.target.Side.Call(callCtx, a.call)
	if err != nil {
		return transport(err)
	}
	frames := pump(callCtx, stream)
	silent := time.NewTimer(timing.CallSilenceTimeout)
	defer silent.Stop()
	for {
		select {
		case <-ctx.Done():
			return ended(ctx, fault.MayHaveRun)
		case <-silent.C:
			a.step.run.e.router.Suspect(a.target.Name)
			return fault.New(fault.MayHaveRun, fault.Silent, "side of %s sent nothing for %s", a.target.Name, timing.CallSilenceTimeout)
		case got := <-frames:
			whole, f := a.take(ctx, got)
			if whole || f != nil {
				return f
			}
			silent.Reset(timing.CallSilenceTimeout)
		}
	}
}

// take handles one received frame; whole ends the answer well.
func (a *attempt) take(ctx context.Context, got received) (whole bool, f *fault.Error) {
	if got.err != nil {
		if ctx.Err() != nil {
			return false, ended(ctx, fault.MayHaveRun)
		}
		return false, transport(got.err)
	}
	step, err := a.answer.Add(got.frame)
	if err != nil {
		return false, fault.From(err)
	}
	if step == assemble.Foreign {
		a.step.log("foreign frame dropped", zap.String("upstream", a.target.Name), zap.Any("of", got.frame.GetId()))
		return false, nil
	}
	if l := got.frame.GetLoad(); l != nil {
		a.load = l
	}
	if step == assemble.Chunk {
		return false, a.pass()
	}
	return step == assemble.Whole, nil
}

// pass hands the newest token on to the caller.
func (a *attempt) pass() *fault.Error {
	s := a.step
	if !s.streams() {
		return nil
	}
	chunks := a.answer.Chunks()
	index := len(chunks) - 1
	s.held = chunks
	if err := s.run.sink.Token(uint64(index), chunks[index]); err != nil {
		return fault.New(fault.MayHaveRun, fault.Canceled, "the caller went away").WithCause(err)
	}
	return nil
}

// report tells the router, the cost counters and the crash records how the attempt ended.
func (a *attempt) report(f *fault.Error) {
	s := a.step
	v := fault.Ran
	if f != nil {
		v = f.Verdict
		s.log("attempt failed", zap.String("upstream", a.target.Name), zap.Uint32("attempt", a.number),
			zap.String("verdict", string(v)), zap.String("code", string(f.Code)), zap.String("message", f.Error()))
	}
	s.run.mark(s.spec, v)
	took := time.Since(a.start)
	a.target.Done(target.Report{Took: took, Load: a.load, Fault: f, Cached: a.answer.Cost().GetCachedTokens() > 0})
	s.run.e.policy.Ended(s.work(), End{Fault: f, Hedge: a.hedge, Took: took, Runner: a.runner(), Load: a.load})
	if a.hedge {
		s.run.e.policy.SettleHedge(a.reserved, a.runner())
	}
	if a.answer.Failure().GetCrashed() {
		s.run.e.watcher.Crashed(Crash{
			ID:          a.answer.Failure().GetCrash(),
			Fingerprint: s.run.req.Fingerprint,
			InFlight:    a.answer.Failure().GetInFlight(),
		})
	}
	if v != fault.NotRun {
		s.run.charge(a.cost(f != nil))
	}
}

// runner is the time that the upstream spent, as far as the side told.
func (a *attempt) runner() time.Duration {
	return time.Duration(a.answer.Cost().GetRunnerMs()) * time.Millisecond
}

func (a *attempt) cost(wasted bool) Cost {
	c := a.answer.Cost()
	return Cost{
		Stage:        a.step.spec.Name,
		Kind:         a.step.spec.Kind,
		RunnerMs:     c.GetRunnerMs(),
		Tokens:       c.GetTokens(),
		PrefillToken: c.GetPrefillTokens(),
		CachedTokens: c.GetCachedTokens(),
		Retry:        a.number > 1 && !a.hedge,
		Hedge:        a.hedge,
		Wasted:       wasted,
	}
}

// transport is the error of a broken connection: nobody knows what the side did, unless the link does.
func transport(err error) *fault.Error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, io.EOF) {
		return fault.New(fault.MayHaveRun, fault.Incomplete, "the answer ended before it was whole")
	}
	return fault.New(fault.MayHaveRun, fault.Transport, "connection to the side failed").WithCause(err)
}

// received is a frame or the error that ended the stream.
type received struct {
	frame *sidepb.CallFrame
	err   error
}

// pump reads a stream into a channel until it ends; a reader that stops makes the side wait.
func pump(ctx context.Context, stream grpc.ServerStreamingClient[sidepb.CallFrame]) <-chan received {
	out := make(chan received)
	go func() {
		for {
			f, err := stream.Recv()
			select {
			case out <- received{frame: f, err: err}:
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
