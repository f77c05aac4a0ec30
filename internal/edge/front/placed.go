package front

import (
	"context"
	"errors"
	"io"
	"net/http"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const maxPlacements = 4 // engines that may refuse or be gone before a request is given up

// runPlaced has the stages of a request run and sends it to the engine that was picked for it.
func (x *exchange) runPlaced() *fault.Error {
	ctx, cancel := context.WithDeadline(x.caller, x.deadline.Add(lateAnswer))
	defer cancel()
	x.in = x.in.WithContext(ctx)
	engine, failed := "", false
	defer func() { x.o.Desk.Ended(x.key, engine, failed) }()
	decision, failure := x.wait(func(reply func(lead.Decision)) { x.o.Desk.Submit(x.order(), reply) })
	events := &relay.Events{}
	var kept *complete // a failure of an engine, given to the caller if nothing better comes
	for placements := 1; ; placements++ {
		if failure != nil {
			return x.giveUp(kept, failure)
		}
		engine, failed = decision.Upstream, false
		var why lead.Problem
		var got *complete
		why, got, failure = x.tryEngine(decision, events)
		if failure == nil {
			return nil
		}
		if got != nil {
			kept = got
		}
		if x.out.Begun() {
			kept = nil
		}
		failed = why == lead.ProblemFailed
		if !x.againPlaced(failure, events) || placements >= maxPlacements {
			return x.giveUp(kept, failure)
		}
		decision, failure = x.wait(func(reply func(lead.Decision)) { x.o.Desk.Retry(x.key, engine, why, reply) })
		failed = false
	}
}

// againPlaced says whether another engine may get the request.
func (x *exchange) againPlaced(failure *fault.Error, events *relay.Events) bool {
	if x.in.Context().Err() != nil || x.left() < minTime {
		return false
	}
	if failure.Code == fault.Conflict {
		return true
	}
	if failure.Verdict == fault.NotRun && !x.out.Begun() {
		return x.again(failure)
	}
	if !x.route.Resumable || (x.out.Begun() && events.LastID() == "") {
		return false
	}
	return x.sends < x.route.Attempts && x.repeat()
}

// order describes the request to the desk.
func (x *exchange) order() lead.Order {
	job := sched.Job{
		ID: x.key, Request: x.label, PieceKey: x.head.PieceKey, Rank: x.rank,
		Arrived: x.arrived, Target: x.arrived.Add(x.route.Target), Deadline: x.deadline,
	}
	for i, s := range x.route.Stages {
		pieces := 0
		if i < len(x.head.Pieces) {
			pieces = x.head.Pieces[i]
		}
		job.Stages = append(job.Stages, sched.Stage{Pool: s.Pool, After: s.After, Pieces: pieces, ResultBytes: s.ResultBytes})
	}
	output := x.head.OutputHint
	if output == 0 {
		output = x.head.OutputLimit / 2
	}
	return lead.Order{Fingerprint: x.fingerprint, Job: job, Engine: place.Order{
		ID: x.key, Entry: x.o.Host, Pool: x.pool, Zone: x.o.Zone, Model: x.head.Model, Prefix: x.head.Prefix,
		PromptTokens: x.head.PromptTokens, OutputTokens: min(output, max(x.head.OutputLimit, 1)),
	}}
}

// wait asks the desk and waits for its decision.
func (x *exchange) wait(ask func(reply func(lead.Decision))) (lead.Decision, *fault.Error) {
	answer := make(chan lead.Decision, 1)
	ask(func(d lead.Decision) { answer <- d })
	select {
	case <-x.in.Context().Done():
		return lead.Decision{}, fault.New(fault.NotRun, fault.Deadline, "no engine in time").WithCause(x.in.Context().Err())
	case <-x.o.Ending:
		return lead.Decision{}, fault.New(fault.NotRun, fault.Draining, "this entry ends before there is a decision").
			WithRetryAfter(defaultRetryAfter)
	case d := <-answer:
		x.o.Log.Info("decided", zap.String("request", x.label), zap.String("route", x.route.Name), zap.String("upstream", d.Upstream),
			zap.Int("inputs", len(d.Inputs)), zap.Bool("late", d.Late), zap.String("refused", string(d.Refused)),
			zap.Duration("retryAfter", d.RetryAfter), zap.Duration("age", x.o.Now().Sub(x.arrived)))
		if d.Refused != "" {
			return d, fault.New(fault.NotRun, fault.Overloaded, "the request can't be served in time: %s", d.Refused).
				WithRetryAfter(d.RetryAfter)
		}
		return d, nil
	}
}

// tryEngine sends the request to an engine and passes its answer on, unless that is a failure of the engine.
func (x *exchange) tryEngine(d lead.Decision, events *relay.Events) (lead.Problem, *complete, *fault.Error) {
	u, known := x.o.Hosts().Get(d.Upstream)
	if !known {
		u = hosts.Upstream{ID: d.Upstream}
	}
	answer, failure := x.send(u, d.Inputs, events.LastID())
	if failure != nil {
		switch {
		case failure.Code == fault.Conflict:
			return lead.ProblemInputLost, nil, failure
		case failure.Verdict == fault.NotRun && failure.Code != fault.NoUpstream:
			return lead.ProblemRefused, nil, failure
		}
		return lead.ProblemFailed, nil, failure
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return x.passFailure(u, answer)
	}
	why, failure := x.passEvents(u, answer, events)
	return why, nil, failure
}

// passFailure passes on an answer of the engine that is no stream, unless it is a failure that another engine may mend.
func (x *exchange) passFailure(u hosts.Upstream, answer *uphttp.Answer) (lead.Problem, *complete, *fault.Error) {
	body, whole, err := relay.Whole(answer, maxBuffered)
	failure := fault.New(fault.MayHaveRun, fault.Upstream, "status %d of %s", answer.Status, u.ID).WithCause(err)
	if err != nil || !whole || x.out.Begun() {
		return lead.ProblemFailed, nil, failure
	}
	got := &complete{
		status: answer.Status, header: x.o.Codec.BackHeader(answer.Header), body: body, length: x.lengthOf(answer, body),
	}
	// An engine answers with a gateway timeout when the time of the request is over, which is no fault of its own.
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout {
		return lead.ProblemFailed, got, failure
	}
	return "", nil, x.deliver(got)
}

// passEvents passes on the events of an answer as they come.
func (x *exchange) passEvents(u hosts.Upstream, answer *uphttp.Answer, events *relay.Events) (lead.Problem, *fault.Error) {
	header := x.o.Codec.BackHeader(answer.Header)
	buffer := make([]byte, streamBuffer)
	first := true
	for {
		n, err := answer.Read(buffer)
		whole, bad := events.Add(buffer[:n])
		if bad != nil {
			err = bad
		}
		if len(whole) > 0 {
			if first && events.Count() > 0 {
				first = false
				x.o.Desk.FirstByte(x.key, x.route.Resumable)
				x.o.Stats.FirstByte(x.o.Now().Sub(x.arrived))
			}
			x.out.Head(answer.Status, header, -1)
			if werr := x.out.Body(whole); werr != nil {
				x.breakOff(fault.Canceled, werr)
			}
		}
		switch {
		case isEnd(err):
			x.out.Head(answer.Status, header, -1)
			if rest := events.Rest(); len(rest) > 0 {
				_ = x.out.Body(rest)
			}
			x.noteServed()
			x.o.Log.Info("served", zap.String("request", x.label), zap.String("route", x.route.Name),
				zap.Int("events", events.Count()), zap.Duration("age", x.o.Now().Sub(x.arrived)))
			return "", nil
		case err != nil:
			events.Rest()
			if x.in.Context().Err() == nil {
				x.o.Desk.Crashed(x.fingerprint, x.sentTo, x.sentAt)
			}
			return lead.ProblemFailed, fault.New(fault.MayHaveRun, fault.Incomplete, "the stream of %s broke off", u.ID).WithCause(err)
		}
	}
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }
