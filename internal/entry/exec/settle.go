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
	// settleInterval is how often the outcome of a running action is asked for.
	settleInterval = 200 * time.Millisecond
	// outcomeTimeout bounds one question.
	outcomeTimeout = time.Second
)

// settle asks other sides for the recorded outcome of an action whose answer was lost,
// for as long as its claim says that it is running. It never sends the action again.
func (s *step) settle(ctx context.Context, f *fault.Error) (result, *fault.Error) {
	for s.worthAsking(f) && ctx.Err() == nil {
		reply, ok := s.outcome(ctx)
		if ok {
			switch reply.GetState() {
			case "done":
				return s.recorded(reply)
			case "claimed":
			default:
				return result{}, f
			}
		}
		if !pause.For(ctx, settleInterval) {
			break
		}
	}
	return result{}, f
}

// worthAsking says whether the record can hold what the attempt lost.
func (s *step) worthAsking(f *fault.Error) bool {
	switch f.Code {
	case fault.Transport, fault.Incomplete, fault.Silent, fault.InProgress, fault.Malformed:
		return true
	}
	return false
}

func (s *step) outcome(ctx context.Context) (*sidepb.OutcomeReply, bool) {
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

func (s *step) recorded(reply *sidepb.OutcomeReply) (result, *fault.Error) {
	d := ident.NewDigest()
	d.Add(reply.GetAnswer())
	isOther := reply.GetDigest() != "" && reply.GetDigest() != d.Sum()
	if isOther || len(reply.GetAnswer()) == 0 {
		return result{}, fault.New(fault.Ran, fault.Incomplete, "the action ran; its answer is not in the record")
	}
	chunks := [][]byte{reply.GetAnswer()}
	if f := s.wellFormed(chunks); f != nil {
		return result{}, f
	}
	return result{chunks: chunks, replayed: true}, nil
}

func outcomeReport(start time.Time, err error) target.Report {
	r := target.Report{Took: time.Since(start)}
	if err != nil {
		r.Fault = transport(err)
	}
	return r
}
