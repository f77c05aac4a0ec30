package front

import (
	"context"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/xchg"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// lateAnswer is how long after the deadline an upstream's own last answer is still waited for.
const lateAnswer = 150 * time.Millisecond

// complete is an answer that was read whole.
type complete struct {
	status int
	header http.Header
	body   []byte
}

// runPlain sends a request to a service without stages.
func (x *exchange) runPlain() *fault.Error {
	ctx, cancel := context.WithDeadline(x.caller, x.deadline.Add(lateAnswer))
	defer cancel()
	x.in = x.in.WithContext(ctx)
	var tried []string
	var kept *complete // a failure of an upstream, given to the caller if nothing better comes
	for {
		u, ok := x.o.Picker.Pick(x.o.Hosts().Ready(x.pool), x.o.Zone, tried, len(tried) > 0)
		if !ok {
			return x.giveUp(kept, fault.New(fault.NotRun, fault.NoUpstream, "no upstream of pool %s takes work", x.pool))
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
	x.o.Picker.Answered(u.ID, x.o.Now().Sub(begun), answer.Status < http.StatusInternalServerError)
	header := x.o.Codec.BackHeader(answer.Header)
	if !whole {
		x.stream(answer, header, body)
		return nil, nil
	}
	return &complete{status: answer.Status, header: header, body: body}, nil
}

// blame tells the picker how a send failed.
func (x *exchange) blame(u hosts.Upstream, failure *fault.Error) {
	switch {
	case x.in.Context().Err() != nil || failure.Code == fault.Draining:
		x.o.Picker.Dropped(u.ID)
	case failure.Code == fault.Overloaded || failure.Code == fault.Conflict || failure.Code == fault.BadRequest:
		x.o.Picker.Dropped(u.ID)
	default:
		x.o.Picker.Failed(u.ID)
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
	return x.sends < x.route.Attempts && x.o.Budget.Repeat(x.pool)
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
	x.out.Head(c.status, c.header, int64(len(c.body)))
	if err := x.out.Body(c.body); err != nil {
		x.out.Break()
	}
	return nil
}

// stream passes on an answer that is too long to be held.
func (x *exchange) stream(answer *xchg.Answer, header http.Header, first []byte) {
	x.out.Head(answer.Status, header, answer.Length)
	if err := x.out.Body(first); err != nil {
		x.out.Break()
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if werr := x.out.Body(buffer[:n]); werr != nil {
				x.out.Break()
			}
		}
		if err != nil {
			if !isEnd(err) {
				x.out.Break()
			}
			return
		}
	}
}
