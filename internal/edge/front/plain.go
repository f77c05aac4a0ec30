package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// answerGrace is how long after the deadline an upstream's own answer is still awaited.
const answerGrace = 150 * time.Millisecond

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	length int64 // value of Content-Length; -1 to leave it out
}

// runPlain sends a request without stages to upstreams of its pool until one answers or no retry is left.
func (x *exchange) runPlain() *fault.Error {
	ctx, cancel := context.WithDeadline(x.caller, x.deadline.Add(answerGrace))
	defer cancel()
	x.in = x.in.WithContext(ctx)
	var tried, exhausted []string
	var untilPermitted time.Duration // shortest time until one of the exhausted upstreams accepts a request
	var fallback *bufferedAnswer     // an upstream's error answer, passed on if no other upstream does better
	for {
		if !x.endsBeforeExit(sentStreamTargets) {
			return x.giveUp(fallback, stopping())
		}
		candidates, retryAfter := x.o.Notices.NotPaused(x.o.Hosts().Ready(x.pool))
		candidates = without(candidates, exhausted)
		if x.o.Hosts().IsWithheld(x.pool) {
			retryAfter = zones.RetryAfter(rand.Float64())
		}
		u, ok := x.o.Picker.Pick(candidates, x.o.Zone, tried, len(tried) > 0)
		if !ok {
			return x.giveUp(fallback, fault.New(fault.NotRun, fault.NoUpstream,
				"no upstream of pool %s takes work", x.pool).WithRetryAfter(max(retryAfter, untilPermitted)))
		}
		if wait := x.o.Permit(ctx, u.Lifetime()); wait > 0 {
			x.o.Picker.Dropped(u.Lifetime())
			exhausted = append(exhausted, u.ID)
			if untilPermitted == 0 || wait < untilPermitted {
				untilPermitted = wait
			}
			continue
		}
		tried = append(tried, u.ID)
		got, failure := x.tryUpstream(u)
		if failure == nil && got == nil {
			return nil // already streamed to the caller
		}
		if failure == nil && (got.status < http.StatusInternalServerError || !x.route.Repeatable()) {
			return x.deliver(got)
		}
		if got != nil {
			fallback = got
		}
		if !x.shouldRetry(failure) {
			return x.giveUp(fallback, failure)
		}
	}
}

// without returns the upstreams whose IDs are not in a list. The upstreams given must not be changed.
func without(all []hosts.Upstream, ids []string) []hosts.Upstream {
	if len(ids) == 0 {
		return all
	}
	var out []hosts.Upstream
	for _, u := range all {
		if !slices.Contains(ids, u.ID) {
			out = append(out, u)
		}
	}
	return out
}

// tryUpstream sends the request once and reads the whole answer. It returns nil and no error for a long answer and for a
// stream, which it passes on to the caller as they arrive. An answer that unconfirmedRefusal withholds is a failure.
func (x *exchange) tryUpstream(u hosts.Upstream) (*bufferedAnswer, *fault.Error) {
	started := x.o.Now()
	answer, failure := x.send(u, nil, "")
	if failure != nil {
		x.reportToPicker(u, failure)
		return nil, failure
	}
	defer answer.Close()
	if x.isStream(answer) {
		return nil, x.relayStream(u, answer, started)
	}
	body, whole, err := relay.ReadLimited(answer, maxBufferedBytes, x.growAnswer)
	if err != nil {
		x.answerBroke(u, true, 0, len(body), err)
		failure := fault.New(fault.MayHaveRun, fault.Incomplete, "the answer of %s broke off", u.ID).WithCause(err)
		x.reportToPicker(u, failure)
		return nil, failure
	}
	x.reportServed()
	failure = unconfirmedRefusal(u, answer)
	x.o.Picker.Answered(u.Lifetime(), x.o.Now().Sub(started),
		answer.Status < http.StatusInternalServerError && failure == nil)
	if failure != nil {
		return nil, failure
	}
	header := x.o.Codec.AnswerHeader(answer.Header)
	if !whole {
		x.stream(u, answer, header, body)
		return nil, nil
	}
	return &bufferedAnswer{status: answer.Status, header: header, body: body, length: x.lengthOf(answer, body)}, nil
}

// isStream reports whether the events of an answer are forwarded as they arrive.
func (x *exchange) isStream(answer *uphttp.Answer) bool {
	return x.route.Kind == rule.Streaming && answer.Status == http.StatusOK && answer.IsEventStream() &&
		x.in.Method != http.MethodHead
}

// relayStream relays a stream of an upstream that the picker has chosen, and reports its end to the picker.
func (x *exchange) relayStream(u hosts.Upstream, answer *uphttp.Answer, started time.Time) *fault.Error {
	ended := false
	defer func() {
		if !ended { // the caller left, which aborts the exchange by a panic
			x.o.Picker.Dropped(u.Lifetime())
		}
	}()
	_, failure := x.relayEvents(u, answer, &relay.EventSplitter{})
	ended = true
	if failure != nil {
		x.reportToPicker(u, failure)
		return failure
	}
	x.o.Picker.Answered(u.Lifetime(), x.o.Now().Sub(started), true)
	return nil
}

// lengthOf returns the Content-Length for the caller, -1 for none. The answer to HEAD keeps that of the upstream.
func (x *exchange) lengthOf(answer *uphttp.Answer, body []byte) int64 {
	switch {
	case x.in.Method == http.MethodHead:
		return answer.Length
	case answer.Status == http.StatusNotModified || answer.Status == http.StatusNoContent:
		return -1
	}
	return int64(len(body))
}

// reportToPicker tells the picker that a send failed, unless the failure is not the upstream's fault.
func (x *exchange) reportToPicker(u hosts.Upstream, failure *fault.Error) {
	switch {
	case x.in.Context().Err() != nil || failure.Code == fault.Draining:
		x.o.Picker.Dropped(u.Lifetime())
	case failure.Code == fault.Overloaded || failure.Code == fault.Conflict || failure.Code == fault.BadRequest:
		x.o.Picker.Dropped(u.Lifetime())
	default:
		if ejected := x.o.Picker.Failed(u.Lifetime()); ejected > 0 {
			x.o.Stats.Ejected(u.Pool)
			x.o.Log.Info("upstream ejected", zap.String("request", x.logID), zap.String("upstream", u.ID),
				zap.String("pool", u.Pool), zap.String("code", string(failure.Code)), zap.Duration("for", ejected))
		}
	}
}

// shouldRetry reports whether to send the request again, and takes a retry from the budget if that counts as one.
// failure is nil if the upstream answered with an error status.
func (x *exchange) shouldRetry(failure *fault.Error) bool {
	if x.in.Context().Err() != nil || x.remaining() < minRemaining || x.out.Started() {
		return false
	}
	notRun := failure != nil && failure.Verdict == fault.NotRun
	if !notRun && !x.route.Repeatable() {
		return false
	}
	if notRun && (failure.Code == fault.NoUpstream || failure.Code == fault.Draining) {
		return true // nothing was sent
	}
	return x.sends < x.route.Attempts && x.takeRetry()
}

// takeRetry takes one retry from the pool's budget, and reports whether there was one.
func (x *exchange) takeRetry() bool {
	allowed := x.o.Budget.TakeRepeat(x.pool)
	x.o.Stats.Repeat(x.pool, allowed)
	if !allowed {
		x.o.Log.Info("retry budget exhausted", zap.String("request", x.logID), zap.String("pool", x.pool),
			zap.Int("sends", x.sends))
	}
	return allowed
}

// giveUp ends a request with an upstream's error answer, if there was one, or else with the failure.
func (x *exchange) giveUp(fallback *bufferedAnswer, failure *fault.Error) *fault.Error {
	if fallback != nil {
		return x.deliver(fallback)
	}
	if x.remaining() <= 0 && failure.Verdict != fault.NotRun {
		return fault.New(fault.MayHaveRun, fault.Deadline, "no answer in time").WithCause(failure)
	}
	return failure
}

// deliver writes a buffered answer to the caller.
func (x *exchange) deliver(c *bufferedAnswer) *fault.Error {
	x.out.Head(c.status, c.header, c.length)
	if err := x.out.Body(c.body); err != nil {
		x.abort(fault.Canceled, err)
	}
	return nil
}

// stream relays an answer that is too long to buffer; first is what was read of it.
func (x *exchange) stream(u hosts.Upstream, answer *uphttp.Answer, header http.Header, first []byte) {
	length := answer.Length
	if answer.IsEventStream() {
		length = -1 // with a length, the answer would be whole for the caller before its end is checked
	}
	x.out.Head(answer.Status, header, length)
	if err := x.out.Body(first); err != nil {
		x.abort(fault.Canceled, err)
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if werr := x.out.Body(buffer[:n]); werr != nil {
				x.abort(fault.Canceled, werr)
			}
		}
		if err != nil {
			if !isEOF(err) {
				x.answerBroke(u, true, 0, 0, err)
				x.abort(fault.Incomplete, err)
			}
			return
		}
	}
}
