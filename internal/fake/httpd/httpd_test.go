package httpd_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/fake/engine"
	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/fake/store"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosthttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/loghttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/runnerhttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstreamhttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/weighthttp"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

var ctx = context.Background()

func serve(c *qt.C, h http.Handler) *httpd.Server {
	s, err := httpd.New("127.0.0.1:0", h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Down)
	return s
}

func newEngine(checksFence bool) *engine.Engine {
	return engine.New(engine.Config{
		Concurrency: 4, CachedPrefixes: 8, ChecksFence: checksFence, PrefillPerToken: time.Microsecond,
		State: runner.State{Model: "m"},
	})
}

func generate(id string, body []byte, held ...string) upstream.Call {
	return upstream.Call{ID: id, Kind: "generate", Model: "m", Body: body, Held: held}
}

func collect(u upstream.Upstream, call upstream.Call) ([]string, upstream.Event, error) {
	s, err := u.Call(ctx, call)
	if err != nil {
		return nil, upstream.Event{}, err
	}
	defer s.Close()
	var tokens []string
	for {
		e, err := s.Next(ctx)
		if err != nil {
			return tokens, e, err
		}
		if e.Last {
			_, err = s.Next(ctx)
			if err != io.EOF {
				return tokens, e, fmt.Errorf("after the last event: %v", err)
			}
			return tokens, e, nil
		}
		tokens = append(tokens, string(e.Data))
	}
}

func upstreamError(c *qt.C, err error) *upstream.Error {
	var e *upstream.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	return e
}

func TestGenerationResumesWithTheSameTokens(t *testing.T) {
	c := qt.New(t)
	first, second := newEngine(true), newEngine(true)
	a := upstreamhttp.New(serve(c, httpd.Engine(first, first)).Address(), 0)
	b := upstreamhttp.New(serve(c, httpd.Engine(second, second)).Address(), 0)
	body := []byte(`{"marker":"m1","q":"` + strings.Repeat("long ", 210) + `"}`)

	whole, last, err := collect(a, generate("r/s/1", body))
	c.Assert(err, qt.IsNil)
	c.Assert(last.Count, qt.Equals, uint64(len(whole)))
	c.Assert(whole[0], qt.Equals, echo.Token(body, 0))
	rest, last, err := collect(b, generate("r/s/2", body, whole[:5]...))
	c.Assert(err, qt.IsNil)
	c.Assert(last.Count, qt.Equals, uint64(len(whole)))
	c.Assert(append(whole[:5:5], rest...), qt.DeepEquals, whole)
	_, _, err = collect(b, generate("r/s/3", body, "not a token of this prompt"))
	c.Assert(upstreamError(c, err).Rejected, qt.IsTrue)

	_, last, err = collect(a, generate("r/s/4", body))
	c.Assert(err, qt.IsNil)
	c.Assert(last.CachedTokens, qt.Equals, uint64(4*256/4))
	events, err := runnerhttp.New(serve(c, httpd.Engine(first, first)).Address()).CacheEvents(ctx, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(events, qt.HasLen, 3)
}

func TestOrderWithOldFencingNumberIsRefusedIfChecked(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		c := qt.New(t)
		e := newEngine(checksFence)
		control := runnerhttp.New(serve(c, httpd.Engine(e, e)).Address())
		c.Assert(control.Order(ctx, runner.Order{Model: "new", Fence: 7}), qt.IsNil)
		err := control.Order(ctx, runner.Order{Model: "old", Fence: 3})
		if checksFence {
			c.Assert(upstreamError(c, err).Refused, qt.IsTrue)
			c.Assert(e.Orders(), qt.HasLen, 1)
		} else {
			c.Assert(err, qt.IsNil)
			c.Assert(e.Orders(), qt.HasLen, 2)
		}
	}
}

func TestPoisonedBodyCrashesTheEngineWhichRestarts(t *testing.T) {
	c := qt.New(t)
	e := newEngine(true)
	e.Faults.Set(faults.Fault{Poison: "poison", RestartAfter: 10 * time.Millisecond})
	server := serve(c, httpd.Engine(e, e))
	server.Follow(e.Proc)
	restarted := make(chan struct{})
	e.Proc.OnChange(func(up bool) {
		if up {
			close(restarted)
		}
	})
	u := upstreamhttp.New(server.Address(), 0)
	_, _, err := collect(u, generate("r/s/1", []byte("poison")))
	c.Assert(upstreamError(c, err).Crashed, qt.IsTrue)
	<-restarted
	_, _, err = collect(u, generate("r/s/2", []byte("good")))
	c.Assert(err, qt.IsNil)
	c.Assert(e.Proc.Starts(), qt.Equals, 2)

	server.Down()
	// A call on a connection that is not yet known to be closed counts as sent.
	u.CloseIdleConnections()
	_, _, err = collect(u, generate("r/s/3", []byte("good")))
	c.Assert(upstreamError(c, err).NotSent, qt.IsTrue)
}

func TestSilentConnectionsWhileNewOnesWork(t *testing.T) {
	c := qt.New(t)
	s := plain.New(4, 0)
	server := serve(c, httpd.Upstream(s))
	u := upstreamhttp.New(server.Address(), 100*time.Millisecond)
	call := upstream.Call{ID: "r/s/1", Kind: "service", Key: "k"}
	_, _, err := collect(u, call)
	c.Assert(err, qt.IsNil)
	server.Silence()
	_, _, err = collect(u, call)
	c.Assert(upstreamError(c, err).Silent, qt.IsTrue)
	c.Assert(u.Ping(ctx), qt.IsNil)
	u.CloseIdleConnections()
	_, _, err = collect(u, call)
	c.Assert(err, qt.IsNil)
}

func TestLostAnswerTakesEffectAndLooksLikeACrash(t *testing.T) {
	c := qt.New(t)
	s := plain.New(4, 0)
	s.Faults.Set(faults.Fault{LostAnswers: 1})
	u := upstreamhttp.New(serve(c, httpd.Upstream(s)).Address(), 0)
	call := upstream.Call{ID: "r/s/1", Kind: "service", Key: "k"}
	_, _, err := collect(u, call)
	c.Assert(upstreamError(c, err).Crashed, qt.IsTrue)
	c.Assert(s.Recorder.Effects("k"), qt.Equals, 1)
	_, _, err = collect(u, call)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Recorder.Effects("k"), qt.Equals, 2)
}

func TestLog(t *testing.T) {
	c := qt.New(t)
	inner := memlog.New()
	server := serve(c, httpd.Log(inner))
	l := loghttp.New(server.Address())
	first, err := l.Append(ctx, "actions.x", [][]byte{[]byte("a"), []byte("b")})
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.Equals, int64(0))
	batch, err := l.Read(ctx, "actions.x", 1, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(batch, qt.DeepEquals, logs.Batch{First: 1, Records: [][]byte{[]byte("b")}, Next: 2})

	mayHaveAppended := func() bool {
		_, err := l.Append(ctx, "s", [][]byte{[]byte("c")})
		var e *logs.Error
		c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
		return e.MayHaveAppended
	}
	inner.SetDown(true)
	c.Assert(mayHaveAppended(), qt.IsFalse)
	inner.SetDown(false)
	inner.LoseAnswers(1)
	c.Assert(mayHaveAppended(), qt.IsTrue)
	server.Down()
	l = loghttp.New(server.Address())
	c.Assert(mayHaveAppended(), qt.IsFalse)
}

func TestHostsAndWeights(t *testing.T) {
	c := qt.New(t)
	list := roster.New(0)
	want := host.Host{Name: "h1", Address: "127.0.0.1:1", Zone: "a", State: host.Live}
	list.Put(want)
	l := hosthttp.New(serve(c, httpd.Hosts(list)).Address())
	got, err := l.Hosts(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, []host.Host{want})
	list.SetDown(true)
	_, err = l.Hosts(ctx)
	c.Assert(err, qt.ErrorMatches, ".*host list is down")

	w := weighthttp.New(serve(c, httpd.Weights(store.New(map[string]int64{"m": 10}, 5))).Address(), 1)
	size, err := w.Size(ctx, "m")
	c.Assert(err, qt.IsNil)
	c.Assert(size, qt.Equals, int64(10))
	c.Assert(w.BytesPerSecond(), qt.Equals, int64(5))
	_, err = w.Size(ctx, "unknown")
	c.Assert(err, qt.ErrorMatches, ".*status 404.*")
}
