package uphttp

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
	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
)

const (
	// maxWhole bounds an answer that comes as JSON, in bytes.
	maxWhole = 8 << 20
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent = 1 << 20
	// maxStream bounds all events of one answer, in bytes.
	maxStream = 64 << 20
	// maxEvents bounds the number of events of one answer.
	maxEvents = 1 << 20
)

// Upstream is the upstream at one address.
type Upstream struct {
	address string
	calls   *client.Client
	reports *client.Client
	silent  time.Duration
}

var _ upstr.Upstream = (*Upstream)(nil)

// New returns the upstream at an IP:port address;
// a call without progress for silent fails, 0 waits as long as the context does.
func New(address string, silent time.Duration) *Upstream {
	return &Upstream{
		address: address,
		calls:   client.New(address),
		reports: client.New(address),
		silent:  silent,
	}
}

// Call sends one call and returns the stream of its events.
func (u *Upstream) Call(ctx context.Context, c upstr.Call) (upstr.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatch(u.silent, cancel)
	resp, err := u.calls.Do(ctx, http.MethodPost, "/v1/call", c, nil)
	if err != nil {
		watch.stop()
		err = callError(ctx, err)
		cancel(nil)
		return nil, err
	}
	watch.progress()
	body := &body{call: c, resp: resp, ctx: ctx, cancel: cancel, watch: watch}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return newEvents(body), nil
	}
	return &whole{body: body}, nil
}

// Load returns the upstream's own report.
func (u *Upstream) Load(ctx context.Context) (upstr.Load, error) {
	var l upstr.Load
	if err := u.reports.Get(ctx, "/v1/load", &l); err != nil {
		return upstr.Load{}, &upstr.Error{Op: "load", NotSent: !client.IsSent(err), Cause: err}
	}
	return l, nil
}

// Ping asks for a sign of life on a new connection; later calls open new ones too, as idle ones may be silent.
func (u *Upstream) Ping(ctx context.Context) error {
	u.Fresh()
	c := client.New(u.address)
	defer c.Fresh()
	var alive struct{}
	if err := c.Get(ctx, "/v1/ping", &alive); err != nil {
		return &upstr.Error{Op: "ping", NotSent: !client.IsSent(err), Cause: err}
	}
	return nil
}

// Fresh closes the idle connections, for when one has gone silent.
func (u *Upstream) Fresh() { u.calls.Fresh() }

func callError(ctx context.Context, err error) error {
	out := &upstr.Error{Op: "call", Cause: err}
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

// body is an answer under way.
type body struct {
	call   upstr.Call
	resp   *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watch
	ended  bool
}

// Close gives the answer up, which tells the upstream to stop its work.
func (b *body) Close() error {
	b.watch.stop()
	b.cancel(nil)
	return b.resp.Body.Close()
}

// check refuses an event of another call or out of bounds.
func (b *body) check(e upstr.Event) error {
	if e.ID != b.call.ID {
		return malformed("answer for call %q on call %q", e.ID, b.call.ID)
	}
	return nil
}

func (b *body) broken(err error) error {
	out := &upstr.Error{Op: "call", Cause: err}
	switch {
	case context.Cause(b.ctx) == errSilent:
		out.Silent, out.Cause = true, errSilent
	case b.ctx.Err() == nil:
		out.Crashed = true
	}
	return out
}

func malformed(format string, args ...any) error {
	return &upstr.Error{Op: "call", Cause: fmt.Errorf("malformed answer: "+format, args...)}
}

// whole is an answer that is one JSON event.
type whole struct {
	*body
}

// Next returns the event, then io.EOF.
func (w *whole) Next(ctx context.Context) (upstr.Event, error) {
	if w.ended {
		return upstr.Event{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { w.cancel(ctx.Err()) })
	defer stop()
	data, err := io.ReadAll(io.LimitReader(&progressReader{from: w.resp.Body, watch: w.watch}, maxWhole+1))
	if err != nil {
		return upstr.Event{}, w.broken(err)
	}
	w.watch.stop()
	if len(data) > maxWhole {
		return upstr.Event{}, malformed("longer than %d bytes", maxWhole)
	}
	var e upstr.Event
	if err := json.Unmarshal(data, &e); err != nil {
		return upstr.Event{}, malformed("%w", err)
	}
	if err := w.check(e); err != nil {
		return upstr.Event{}, err
	}
	if !e.Last || e.Count != 1 || e.Index != 0 {
		return upstr.Event{}, malformed("a whole answer is one event, not last=%t count=%d index=%d", e.Last, e.Count, e.Index)
	}
	w.ended = true
	return e, nil
}
