package front

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// lateAnswer is how long after the deadline an upstream's own last answer is still waited for.
const lateAnswer = 150 * time.Millisecond

// complete is an answer that was read whole.
type complete struct {
	status int
	header http.Header
	body   []byte
	length int64 // of the body; -1 when the caller is not told
}

// runPlain sends a request to a service without stages.
func (x *exchange) runPlain() *fault.Error {
	ctx, cancel := context.WithDeadline(x.caller, x.deadline.Add(lateAnswer))
	defer cancel()
	x.in = x.in.WithContext(ctx)
	var tried []string
	var kept *complete // a failure of an upstream, given to the caller if nothing better comes
	for {
		open, first := x.o.Heed.Open(x.o.Hosts().Ready(x.pool))
		u, ok := x.o.Picker.Pick(open, x.o.Zone, tried, len(tried) > 0)
		if !ok {
			return x.giveUp(kept, fault.New(fault.NotRun, fault.NoUpstream, "no upstream of pool %s takes work", x.pool).WithRetryAfter(first))
		}
		tried = append(tried, u.ID)
		got, failure := x.exchangePlain(u)
		if failure == nil && got == nil {
			return nil // streamed
		}
		if failure == nil && (got.status < http.StatusInternalServerError || !x.route.Repeatable()) {
			return x.deliver(got)
		}
		if got != nil {
			kept = got
		}
		if !x.again(failure) {
			return x.giveUp(kept, failure)
		}
	}
}

// exchangePlain sends the request once and reads the whole answer; a nil answer without an error was streamed.
func (x *exchange) exchangePlain(u hosts.Upstream) (*complete, *fault.Error) {
	begun := x.o.Now()
	answer, failure := x.send(u, nil, "")
	if failure != nil {
		x.blame(u, failure)
		return nil, failure
	}
	defer answer.Close()
	body, whole, err := relay.Whole(answer, maxBuffered)
	if err != nil {
		failure := fault.New(fault.MayHaveRun, fault.Incomplete, "the answer of %s broke off", u.ID).WithCause(err)
		x.blame(u, failure)
		return nil, failure
	}
	x.noteServed()
	x.o.Picker.Answered(u.ID, x.o.Now().Sub(begun), answer.Status < http.StatusInternalServerError)
	header := x.o.Codec.BackHeader(answer.Header)
	if !whole {
		x.stream(answer, header, body)
		return nil, nil
	}
	return &complete{status: answer.Status, header: header, body: body, length: x.lengthOf(answer, body)}, nil
}

// lengthOf is the length that the caller is told; answers without a body may have one.
func (x *exchange) lengthOf(answer *uphttp.Answer, body []byte) int64 {
	switch {
	case x.in.Method == http.MethodHead:
		return answer.Length
	case answer.Status == http.StatusNotModified || answer.Status == http.StatusNoContent:
		return -1
	}
	return int64(len(body))
}

// blame tells the picker how a send failed.
func (x *exchange) blame(u hosts.Upstream, failure *fault.Error) {
	switch {
	case x.in.Context().Err() != nil || failure.Code == fault.Draining:
		x.o.Picker.Dropped(u.ID)
	case failure.Code == fault.Overloaded || failure.Code == fault.Conflict || failure.Code == fault.BadRequest:
		x.o.Picker.Dropped(u.ID)
	default:
		if ejected := x.o.Picker.Failed(u.ID); ejected > 0 {
			x.o.Stats.Ejected(u.Pool)
			x.o.Log.Info("upstream ejected", zap.String("request", x.label), zap.String("upstream", u.ID), zap.String("pool", u.Pool),
				zap.String("code", string(failure.Code)), zap.Duration("for", ejected))
		}
	}
}

// again says whether to send the request once more; failure is nil when the upstream answered with one of its own.
func (x *exchange) again(failure *fault.Error) bool {
	if x.in.Context().Err() != nil || x.left() < minTime || x.out.Begun() {
		return false
	}
	notRun := failure != nil && failure.Verdict == fault.NotRun
	if !notRun && !x.route.Repeatable() {
		return false
	}
	if notRun && (failure.Code == fault.NoUpstream || failure.Code == fault.Draining) {
		return true // nothing was sent
	}
	return x.sends < x.route.Attempts && x.repeat()
}

// repeat takes one repeat from the budget, or reports that it is spent.
func (x *exchange) repeat() bool {
	allowed := x.o.Budget.TakeRepeat(x.pool)
	x.o.Stats.Repeat(x.pool, allowed)
	if !allowed {
		x.o.Log.Info("retry budget is spent", zap.String("request", x.label), zap.String("pool", x.pool), zap.Int("sends", x.sends))
	}
	return allowed
}

// giveUp ends a request with the upstream's own failure, if there is one.
func (x *exchange) giveUp(kept *complete, failure *fault.Error) *fault.Error {
	if kept != nil {
		return x.deliver(kept)
	}
	if x.left() <= 0 && failure.Verdict != fault.NotRun {
		return fault.New(fault.MayHaveRun, fault.Deadline, "no answer in time").WithCause(failure)
	}
	return failure
}

// deliver writes an answer that was read whole.
func (x *exchange) deliver(c *complete) *fault.Error {
	x.out.Head(c.status, c.header, c.length)
	if err := x.out.Body(c.body); err != nil {
		x.breakOff(fault.Canceled, err)
	}
	return nil
}

// stream passes on an answer that is too long to be held.
func (x *exchange) stream(answer *uphttp.Answer, header http.Header, first []byte) {
	x.out.Head(answer.Status, header, answer.Length)
	if err := x.out.Body(first); err != nil {
		x.breakOff(fault.Canceled, err)
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if werr := x.out.Body(buffer[:n]); werr != nil {
				x.breakOff(fault.Canceled, werr)
			}
		}
		if err != nil {
			if !isEnd(err) {
				x.breakOff(fault.Incomplete, err)
			}
			return
		}
	}
}
