package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	maxPlacements = 4 // engines tried before the request fails
	maxBreaks     = 2 // sends that end before their answer begins
	checkWait     = 250 * time.Millisecond

	// A stream that is taken up is to go on within this part of the time left, which leaves the rest for its events. The
	// target of its route is for first events.
	takeUpTargetPart = 0.5
	takeUpTargets    = 2
)

// runPlaced has the leader run the stages of a request and pick an engine, and sends the request there.
func (x *exchange) runPlaced() *fault.Error {
	ctx, cancel := context.WithDeadline(x.caller, x.deadline.Add(answerGrace))
	defer cancel()
	x.in = x.in.WithContext(ctx)
	engine, failed := "", false
	defer func() { x.o.Leader.Ended(x.key, engine, failed) }()
	if x.resumable.TakenUp {
		x.findOrigin()
	}
	decision, failure := x.awaitDecision(func(reply func(lead.Decision)) { x.o.Leader.Submit(x.order(), reply) })
	events := &relay.EventSplitter{}
	var fallback *bufferedAnswer // an engine's error answer, passed on if no other engine does better
	for placements := 1; ; placements++ {
		if failure != nil {
			return x.giveUp(fallback, failure)
		}
		if !x.endsBeforeExit(sentStreamTargets) {
			return x.giveUp(fallback, stopping())
		}
		engine, failed = decision.Upstream, false
		var problem lead.Problem
		var got *bufferedAnswer
		problem, got, failure = x.tryEngine(decision, events)
		if failure == nil {
			return nil
		}
		if got != nil {
			fallback = got
		}
		if x.out.Started() {
			fallback = nil
		}
		failed = problem == lead.ProblemFailed
		if !x.shouldRetryPlaced(failure, events) || placements >= maxPlacements {
			return x.giveUp(fallback, failure)
		}
		decision, failure = x.awaitDecision(
			func(reply func(lead.Decision)) { x.o.Leader.Retry(x.key, engine, problem, x.begunAt, reply) })
		failed = false
	}
}

// findOrigin looks up where the stream began that the request takes up. If the pool of its route has changed since, it
// goes on in the one where it began.
func (x *exchange) findOrigin() {
	answer := make(chan origin.Found, 1)
	found, atOnce := x.o.Origins.Find(x.resumable.Key, x.pool, x.arrived, func(f origin.Found) { answer <- f })
	if !atOnce {
		select {
		case found = <-answer:
		case <-x.in.Context().Done():
		}
	}
	x.resumable.Found = found
	if slices.ContainsFunc(x.route.Split, func(s rule.Share) bool { return s.Pool == found.Pool }) {
		x.pool = found.Pool
	}
}

// shouldRetryPlaced reports whether to try another engine, and takes a retry from the budget if that counts as one.
func (x *exchange) shouldRetryPlaced(failure *fault.Error, events *relay.EventSplitter) bool {
	if x.in.Context().Err() != nil || x.remaining() < minRemaining {
		return false
	}
	if failure.Code == fault.Conflict {
		return true
	}
	if failure.Verdict == fault.NotRun && !x.out.Started() {
		return x.shouldRetry(failure)
	}
	if !x.route.Resumable || (x.out.Started() && events.LastID() == "") {
		return false
	}
	return x.sends < x.route.Attempts && !x.mayCrashAgain() && x.takeRetry()
}

// mayCrashAgain reports whether the request may be to blame for a crash, so that another engine is not to get it: two
// sends ended before their answer began, or others like it crashed engines before.
func (x *exchange) mayCrashAgain() bool {
	if x.checked == nil {
		return false
	}
	select {
	case <-x.checked:
	case <-time.After(checkWait):
	case <-x.in.Context().Done():
	}
	x.checked = nil
	again := x.breaks >= maxBreaks || x.o.Crash.IsSuspect(x.crashReport(false)) ||
		x.o.Crash.BlockedFor(x.fingerprint, x.parts) > 0
	if again {
		x.o.Log.Info("not sent again, as it may crash another engine", zap.String("request", x.logID),
			zap.Int("breaks", x.breaks))
	}
	return again
}

// order describes the request to the leader.
func (x *exchange) order() lead.Order {
	job := sched.Job{
		ID: x.key, RequestID: x.logID, PieceKey: x.head.PieceKey, Rank: x.priority, Route: x.route.Name, Team: x.team,
		Arrived: x.arrived, Target: x.arrived.Add(x.route.Target), Deadline: x.deadline,
	}
	if x.resumable.TakenUp {
		left := time.Duration(takeUpTargetPart * float64(x.deadline.Sub(x.arrived)))
		job.Target = x.arrived.Add(min(left, takeUpTargets*x.route.Target))
	}
	for i, s := range x.route.Stages {
		pieces := 0
		if i < len(x.head.Pieces) {
			pieces = x.head.Pieces[i]
		}
		job.Stages = append(job.Stages, sched.Stage{Pool: s.Pool, After: s.After, Pieces: pieces, ResultBytes: s.ResultBytes})
	}
	return lead.Order{Fingerprint: x.fingerprint, Job: job, Stream: x.resumable, Engine: place.Order{
		ID: x.key, Entry: x.o.Host, Pool: x.pool, Zone: x.o.Zone, Model: x.head.Model, Prefix: x.head.Prefix,
		PromptTokens: x.head.PromptTokens, OutputHint: x.head.OutputHint, OutputLimit: x.head.OutputLimit, Deadline: x.deadline,
		Route: x.route.Name, Rank: x.priority, Target: x.route.Target, Gap: x.route.TargetEventGap,
	}}
}

// awaitDecision asks the leader and waits for its decision.
func (x *exchange) awaitDecision(ask func(reply func(lead.Decision))) (lead.Decision, *fault.Error) {
	answer := make(chan lead.Decision, 1)
	ask(func(d lead.Decision) { answer <- d })
	select {
	case <-x.in.Context().Done():
		return lead.Decision{}, fault.New(fault.NotRun, fault.Deadline, "no engine in time").
			WithCause(x.in.Context().Err())
	case <-x.o.Ending:
		return lead.Decision{}, fault.New(fault.NotRun, fault.Draining, "this entry ends before there is a decision").
			WithRetryAfter(defaultRetryAfter)
	case d := <-answer:
		x.o.Log.Info("decided", zap.String("request", x.logID), zap.String("route", x.route.Name),
			zap.String("team", x.team), zap.Int("rank", x.priority), zap.String("resumes", x.head.Resumes), zap.String("upstream", d.Upstream),
			zap.Int("inputs", len(d.Inputs)), zap.Bool("late", d.Late),
			zap.String("refused", string(d.Refused)), zap.Duration("retryAfter", d.RetryAfter),
			zap.Duration("age", x.o.Now().Sub(x.arrived)))
		if d.Refused == sched.Quarantined {
			return d, quarantined(d.RetryAfter)
		}
		if d.Refused != "" {
			return d, fault.New(fault.NotRun, fault.Overloaded, "the request can't be served in time: %s", d.Refused).
				WithRetryAfter(d.RetryAfter)
		}
		return d, nil
	}
}

// tryEngine sends the request to an engine and relays its answer, except for an error answer that another engine may
// not give. It returns the engine's problem, to be reported to the leader; the error answer that was not relayed, if
// any; and the failure, which is nil if the caller got an answer.
func (x *exchange) tryEngine(
	d lead.Decision, events *relay.EventSplitter) (lead.Problem, *bufferedAnswer, *fault.Error) {
	u, known := x.o.Hosts().Get(d.Upstream)
	if !known {
		u = hosts.Upstream{ID: d.Upstream, Version: d.Version}
	}
	if !x.fitsVersion(d, u) {
		return lead.ProblemRefused, nil, fault.New(fault.NotRun, fault.Draining, "upstream %s runs %q, the leader picked %q, "+
			"and the stream began at %q", u.ID, u.Version, d.Version, cmp.Or(x.begunAt, x.resumable.Found.Version))
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
	if answer.Status != http.StatusOK || x.in.Method == http.MethodHead || (x.out.Started() && !answer.IsEventStream()) {
		return x.relayBuffered(u, answer)
	}
	problem, failure := x.relayEvents(u, answer, events)
	return problem, nil, failure
}

// relayBuffered relays an answer that is not a stream, unless it is a failure that another engine may not have.
func (x *exchange) relayBuffered(u hosts.Upstream, answer *uphttp.Answer) (lead.Problem, *bufferedAnswer, *fault.Error) {
	body, whole, err := relay.ReadLimited(answer, maxBufferedBytes, x.growAnswer)
	failure := fault.New(fault.MayHaveRun, fault.Upstream, "status %d of %s", answer.Status, u.ID).WithCause(err)
	if err != nil {
		x.answerBroke(u, true, 0, len(body), err)
	} else if withheld := unconfirmedRefusal(u, answer); withheld != nil {
		return lead.ProblemFailed, nil, withheld
	}
	if err != nil || !whole || x.out.Started() {
		return lead.ProblemFailed, nil, failure
	}
	got := &bufferedAnswer{
		status: answer.Status, header: x.o.Codec.AnswerHeader(answer.Header), body: body, length: x.lengthOf(answer, body),
	}
	// An engine answers 504 when the request's deadline has passed, which is no fault of the engine.
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout {
		return lead.ProblemFailed, got, failure
	}
	return "", nil, x.deliver(got)
}

// fitsVersion reports whether the request may run at the upstream that the leader has picked. A leader of an earlier
// release names no version; what this entry has found of a stream that is taken up counts then.
func (x *exchange) fitsVersion(d lead.Decision, u hosts.Upstream) bool {
	switch {
	case d.Version != "" && d.Version != u.Version:
		return false
	case d.Version == "" && x.resumable.TakenUp && u.Version != x.resumable.Found.Version:
		return false
	}
	return x.begunAt == "" || x.begunAt == u.Version
}

// relayEvents relays the events of an answer as they arrive.
func (x *exchange) relayEvents(
	u hosts.Upstream, answer *uphttp.Answer, events *relay.EventSplitter) (lead.Problem, *fault.Error) {
	header := x.o.Codec.AnswerHeader(answer.Header)
	buffer := make([]byte, streamBufferBytes)
	beforeFirst := true
	before := events.Count()
	if x.out.Started() {
		x.o.Stats.StreamContinued(u.Pool, u.Version == x.begunAt)
	}
	for {
		n, err := answer.Read(buffer)
		whole, splitErr := events.Add(buffer[:n])
		if splitErr != nil {
			err = splitErr
		}
		if len(whole) > 0 {
			if beforeFirst && events.Count() > before {
				beforeFirst = false
				x.o.Crash.ObserveBegun(x.parts)
				x.o.Leader.FirstByte(x.key, x.route.Resumable)
				x.o.Stats.FirstByte(x.o.Now().Sub(x.arrived))
			}
			x.recordBegun(u)
			x.out.Head(answer.Status, header, -1)
			if werr := x.out.Body(whole); werr != nil {
				x.abort(fault.Canceled, werr)
			}
		}
		if isEOF(err) && answer.IsEventStream() && answer.EndsWithConnection() && events.Count() == before {
			err = io.ErrUnexpectedEOF // cut off before its first event
		}
		switch {
		case isEOF(err):
			x.out.Head(answer.Status, header, -1)
			rest := events.Rest()
			if len(rest) > 0 {
				_ = x.out.Body(rest)
			}
			x.reportServed()
			x.o.Log.Info("served", zap.String("request", x.logID), zap.String("route", x.route.Name),
				zap.Int("events", events.Count()), zap.Int("rest", len(rest)),
				zap.Duration("age", x.o.Now().Sub(x.arrived)))
			return "", nil
		case err != nil:
			rest := events.Rest()
			x.answerBroke(u, events.Count() > before, events.Count()-before, len(rest), err)
			return lead.ProblemFailed, fault.New(fault.MayHaveRun, fault.Incomplete, "the stream of %s broke off", u.ID).
				WithCause(err)
		}
	}
}

// recordBegun remembers the version of the engine whose events are the first that the caller gets.
func (x *exchange) recordBegun(u hosts.Upstream) {
	if x.out.Started() {
		return
	}
	x.begunAt = u.Version
	if x.resumable.Key != 0 {
		x.o.Origins.Begun(x.resumable.Key, origin.Origin{Pool: u.Pool, Version: u.Version})
	}
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
