package upstreamhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstreamhttp"
)

// answer is a case of testdata/answers.txtar: what the server sends and what the caller must see.
type answer struct {
	contentType string
	status      int
	cut         bool   // the connection breaks after the body
	held        int    // tokens that the call continues from
	want        string // prefix of the result of run
	body        string
}

// parse parses a case, with one "name: value" a line.
func parse(c *qt.C, data string) answer {
	a := answer{status: http.StatusOK}
	for line := range strings.Lines(data) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		var err error
		switch name {
		case "type":
			a.contentType = value
		case "status":
			a.status, err = strconv.Atoi(value)
		case "held":
			a.held, err = strconv.Atoi(value)
		case "cut":
			a.cut = value == "true"
		case "want":
			a.want = value
		case "body":
			a.body += value + "\n"
		default:
			c.Fatalf("unknown line %q", line)
		}
		c.Assert(err, qt.IsNil)
	}
	return a
}

func (a answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", a.contentType)
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
	if a.cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestAnswers(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/answers.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			c := qt.New(t)
			a := parse(c, string(file.Data))
			call := upstream.Call{ID: "r/s/1", Held: make([]string, a.held)}
			got := run(c, a, call, 0)
			c.Assert(strings.HasPrefix(got, a.want), qt.IsTrue, qt.Commentf("got %q, want %q", got, a.want))
		})
	}
}

// run calls a server with the handler h and returns the data of the events, then "whole" or the kind of the error.
func run(c *qt.C, h http.Handler, call upstream.Call, silent time.Duration) string {
	server := httptest.NewServer(h)
	defer server.Close()
	u := upstreamhttp.New(server.Listener.Addr().String(), silent)
	s, err := u.Call(context.Background(), call)
	if err != nil {
		return describe(c, err)
	}
	defer s.Close()
	var seen []string
	for {
		e, err := s.Next(context.Background())
		if err == io.EOF {
			return strings.Join(append(seen, "whole"), " ")
		}
		if err != nil {
			return strings.Join(append(seen, describe(c, err)), " ")
		}
		if len(e.Data) > 0 {
			seen = append(seen, "data="+string(e.Data))
		}
	}
}

// describe returns the kind of an *upstream.Error, or "error" and its cause if it has none.
func describe(c *qt.C, err error) string {
	var e *upstream.Error
	c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	switch {
	case e.NotSent:
		return "notSent"
	case e.Refused:
		return "refused"
	case e.Rejected:
		return "rejected"
	case e.Silent:
		return "silent"
	case e.Crashed:
		return "crashed"
	}
	return "error " + e.Cause.Error()
}

func TestTooLong(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("a", 9<<20)
	whole := answer{status: http.StatusOK, contentType: "application/json", body: long}
	c.Assert(run(c, whole, upstream.Call{}, 0), qt.Contains, "malformed answer: longer than")
	event := answer{status: http.StatusOK, contentType: "text/event-stream", body: "data: " + long}
	c.Assert(run(c, event, upstream.Call{}, 0), qt.Contains, "malformed answer: event longer than")
}

func TestNotSentOnlyWithoutConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	_, err = upstreamhttp.New(address, 0).Call(context.Background(), upstream.Call{})
	c.Assert(describe(c, err), qt.Equals, "notSent")

	died := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c.Assert(run(c, died, upstream.Call{}, 0), qt.Equals, "crashed")
}

func TestSilent(t *testing.T) {
	c := qt.New(t)
	const bound = 50 * time.Millisecond
	before := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	c.Assert(run(c, before, upstream.Call{}, bound), qt.Equals, "silent")
	midway := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintln(w, `data: {"id":"r/s/1","data":"YQ=="}`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c.Assert(run(c, midway, upstream.Call{ID: "r/s/1"}, bound), qt.Equals, "data=a silent")
}

func TestCallerGivesUp(t *testing.T) {
	c := qt.New(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		close(left)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := upstreamhttp.New(server.Listener.Addr().String(), 0).Call(ctx, upstream.Call{})
	c.Assert(describe(c, err), qt.Contains, "context canceled")
	<-left
}

func TestManyFailuresTripNoBreaker(t *testing.T) {
	c := qt.New(t)
	healthy := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !healthy {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(w, `{}`)
	}))
	defer server.Close()
	u := upstreamhttp.New(server.Listener.Addr().String(), 0)
	for range 200 {
		_, err := u.Load(context.Background())
		c.Assert(err, qt.ErrorMatches, ".*status 500.*")
	}
	healthy = true
	for range 50 {
		_, err := u.Load(context.Background())
		c.Assert(err, qt.IsNil)
	}
}

// TestAnswersWithoutEnd checks that an upstream that sends comments or headers without end fails the call, and that the
// connection is closed. Bounds on events alone would let such answers run on, as they contain no event.
func TestAnswersWithoutEnd(t *testing.T) {
	const most = 256 << 20 // bytes, above every bound on an answer
	for name, first := range map[string]string{
		"comments": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"head":     "HTTP/1.1 200 OK\r\n",
	} {
		c := qt.New(t)
		var sent atomic.Int64
		closed := make(chan struct{})
		got := run(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(closed)
			conn, _, err := http.NewResponseController(w).Hijack()
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, first)
			for chunk := strings.Repeat(": still here\n", 4096); err == nil && sent.Load() < most; {
				var n int
				n, err = io.WriteString(conn, chunk)
				sent.Add(int64(n))
			}
		}), upstream.Call{ID: "r/s/1"}, 0)
		<-closed
		c.Check(got, qt.Not(qt.Contains), "data=", qt.Commentf(name))
		c.Check(got, qt.Not(qt.Equals), "notSent", qt.Commentf("%s: it may have run", name))
		c.Check(sent.Load() < most, qt.IsTrue, qt.Commentf("%s: %d bytes", name, sent.Load()))
	}
}
