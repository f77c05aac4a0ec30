package exec

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	// outcomePollInterval is the pause between queries for the outcome of a running action.
	outcomePollInterval = 200 * time.Millisecond
	// outcomeTimeout is the timeout of one query.
	outcomeTimeout = time.Second
)

// recoverOutcome queries other sides for the recorded outcome of an action whose answer was lost, as long as no side
// answers or the record says that the action is claimed. It never sends the action again.
func (s *stageRun) recoverOutcome(ctx context.Context, f *fault.Error) (result, *fault.Error) {
	for s.mayBeRecorded(f) && ctx.Err() == nil {
		reply, ok := s.queryOutcome(ctx)
		if ok {
			switch reply.GetState() {
			case "done":
				return s.recordedResult(reply)
			case "claimed":
			default:
				return result{}, f
			}
		}
		if !pause.For(ctx, outcomePollInterval) {
			break
		}
	}
	return result{}, f
}

// mayBeRecorded reports whether the action may have a recorded outcome although its attempt failed with f.
func (s *stageRun) mayBeRecorded(f *fault.Error) bool {
	switch f.Code {
	case fault.Transport, fault.Incomplete, fault.Silent, fault.InProgress, fault.Malformed:
		return true
	}
	return false
}

// queryOutcome asks one side for the recorded outcome of the action; false if no side could be reached.
func (s *stageRun) queryOutcome(ctx context.Context) (*sidepb.OutcomeReply, bool) {
	t, f := s.route(false)
	if f != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	start := time.Now()
	reply, err := t.Side.Outcome(ctx, &sidepb.OutcomeRequest{
		Team:    s.run.req.Team.Name,
		Service: s.spec.Pool,
		Key:     s.run.req.Key,
	})
	t.Done(outcomeReport(start, err))
	return reply, err == nil
}

// recordedResult returns the recorded answer of an action that is done, or an error if the answer was not recorded.
func (s *stageRun) recordedResult(reply *sidepb.OutcomeReply) (result, *fault.Error) {
	d := ident.NewDigest()
	d.Add(reply.GetAnswer())
	mismatch := reply.GetDigest() != "" && reply.GetDigest() != d.Sum()
	if mismatch || len(reply.GetAnswer()) == 0 {
		return result{}, fault.New(fault.Ran, fault.Incomplete, "the action ran; its answer is not in the record")
	}
	chunks := [][]byte{reply.GetAnswer()}
	if f := s.checkResult(chunks); f != nil {
		return result{}, f
	}
	return result{chunks: chunks, replayed: true}, nil
}

// outcomeReport reports a query that started at start and ended with err to the router.
func outcomeReport(start time.Time, err error) target.Report {
	r := target.Report{Took: time.Since(start)}
	if err != nil {
		r.Fault = transportError(err)
	}
	return r
}
