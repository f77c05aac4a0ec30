package upstreamhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const (
	// maxJSONBytes bounds an answer in JSON.
	maxJSONBytes = 8 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxStreamBytes bounds all events of one answer.
	maxStreamBytes = 64 << 20
	// maxEvents bounds the number of events of one answer.
	maxEvents = 1 << 20
)

// Upstream is the upstream at one address.
type Upstream struct {
	address         string
	calls           *client.Client // for Call
	reports         *client.Client // for Load, on connections of its own
	progressTimeout time.Duration
}

var _ upstream.Upstream = (*Upstream)(nil)

// New returns the upstream at an IP:port address. A call that makes no progress for progressTimeout fails; 0 means no
// timeout other than that of the context.
func New(address string, progressTimeout time.Duration) *Upstream {
	return &Upstream{
		address:         address,
		calls:           client.New(address),
		reports:         client.New(address),
		progressTimeout: progressTimeout,
	}
}

// Call sends one call and returns the stream of its events.
func (u *Upstream) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := newProgressTimer(u.progressTimeout, cancel)
	resp, err := u.calls.Do(ctx, http.MethodPost, "/v1/call", c, nil)
	if err != nil {
		timer.stop()
		err = callError(ctx, err)
		cancel(nil)
		return nil, err
	}
	timer.reset()
	answer := &response{call: c, resp: resp, ctx: ctx, cancel: cancel, timer: timer}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return newEventStream(answer), nil
	}
	return &jsonAnswer{response: answer}, nil
}

// Load returns the upstream's report of its load.
func (u *Upstream) Load(ctx context.Context) (upstream.Load, error) {
	var l upstream.Load
	if err := u.reports.Get(ctx, "/v1/load", &l); err != nil {
		return upstream.Load{}, &upstream.Error{Op: "load", NotSent: !client.IsSent(err), Cause: err}
	}
	return l, nil
}

// Ping asks for an answer on a new connection. It closes the idle connections first, as they may have gone silent.
func (u *Upstream) Ping(ctx context.Context) error {
	u.CloseIdleConnections()
	c := client.New(u.address)
	defer c.CloseIdleConnections()
	var alive struct{}
	if err := c.Get(ctx, "/v1/ping", &alive); err != nil {
		return &upstream.Error{Op: "ping", NotSent: !client.IsSent(err), Cause: err}
	}
	return nil
}

// CloseIdleConnections closes the idle connections, so that no call uses one that has gone silent.
func (u *Upstream) CloseIdleConnections() { u.calls.CloseIdleConnections() }

// callError returns the error of a call that failed before its answer began.
func callError(ctx context.Context, err error) error {
	out := &upstream.Error{Op: "call", Cause: err}
	var e *client.Error
	switch {
	case context.Cause(ctx) == errSilent:
		out.Silent, out.NotSent, out.Cause = true, !client.IsSent(err), errSilent
	case !client.IsSent(err):
		out.NotSent = true
	case errors.As(err, &e) && e.Status != 0:
		out.Refused = e.Problem.Code == client.Refused
		out.Rejected = e.Problem.Code == client.Rejected
	case ctx.Err() == nil:
		out.Crashed = true
	}
	return out
}

// response is the state that eventStream and jsonAnswer share.
type response struct {
	call   upstream.Call
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *progressTimer
	ended  bool // the last event was returned
}

// Close closes the connection, which makes the upstream stop its work on the call.
func (r *response) Close() error {
	r.timer.stop()
	r.cancel(nil)
	return r.resp.Body.Close()
}

// checkID returns an error for an event of another call.
func (r *response) checkID(e upstream.Event) error {
	if e.ID != r.call.ID {
		return malformed("answer for call %q on call %q", e.ID, r.call.ID)
	}
	return nil
}

// readError returns the error of a call whose answer could not be read to its end.
func (r *response) readError(err error) error {
	out := &upstream.Error{Op: "call", Cause: err}
	switch {
	case context.Cause(r.ctx) == errSilent:
		out.Silent, out.Cause = true, errSilent
	case r.ctx.Err() == nil:
		out.Crashed = true
	}
	return out
}

// malformed returns the error of a call whose answer breaks the protocol.
func malformed(format string, args ...any) error {
	return &upstream.Error{Op: "call", Cause: fmt.Errorf("malformed answer: "+format, args...)}
}

// jsonAnswer is an answer of one event in JSON.
type jsonAnswer struct {
	*response
}

// Next returns the event, then io.EOF.
func (a *jsonAnswer) Next(ctx context.Context) (upstream.Event, error) {
	if a.ended {
		return upstream.Event{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { a.cancel(ctx.Err()) })
	defer stop()
	data, err := io.ReadAll(io.LimitReader(&progressReader{source: a.resp.Body, timer: a.timer}, maxJSONBytes+1))
	if err != nil {
		return upstream.Event{}, a.readError(err)
	}
	a.timer.stop()
	if len(data) > maxJSONBytes {
		return upstream.Event{}, malformed("longer than %d bytes", maxJSONBytes)
	}
	var e upstream.Event
	if err := json.Unmarshal(data, &e); err != nil {
		return upstream.Event{}, malformed("%w", err)
	}
	if err := a.checkID(e); err != nil {
		return upstream.Event{}, err
	}
	if !e.Last || e.Count != 1 || e.Index != 0 {
		return upstream.Event{}, malformed("a whole answer is one event, not last=%t count=%d index=%d",
			e.Last, e.Count, e.Index)
	}
	a.ended = true
	return e, nil
}
