package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const (
	cutEvents  = event + "id: 2\ndata: tok" // ends inside its second event
	longEvents = 4000                       // events that are too long together to be buffered
)

// endings are the ways in which an upstream ends a body of events.
var endings = map[string]func(conn *net.TCPConn, r *http.Request, body string){
	"close": func(conn *net.TCPConn, r *http.Request, body string) {
		_, _ = io.WriteString(conn, eventHead(r)+"\r\n"+body)
	},
	"reset": func(conn *net.TCPConn, r *http.Request, body string) {
		_, _ = io.WriteString(conn, eventHead(r)+"\r\n"+body)
		_ = conn.SetLinger(0)
	},
	"length": func(conn *net.TCPConn, r *http.Request, body string) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", eventHead(r), len(body), body)
	},
	"chunks": func(conn *net.TCPConn, r *http.Request, body string) {
		_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", eventHead(r), len(body), body)
	},
	"odd type": func(conn *net.TCPConn, r *http.Request, body string) {
		_, _ = io.WriteString(conn, strings.Replace(eventHead(r), "event-stream", "event-stream; charset", 1)+"\r\n"+body)
	},
}

// eventHead returns the head of a stream, without its last blank line.
func eventHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n",
		r.Header.Get("Request-Id"))
}

// endWith returns an Intercept that answers a request whose path ends with "cut" with the body and one of the endings.
func endWith(end func(*net.TCPConn, *http.Request, string), body string) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasSuffix(r.URL.Path, "/cut") {
			return false
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		end(conn.(*net.TCPConn), r, body)
		return true
	}
}

// A stream that ends inside an event has been cut off, however it is framed and on whichever route. On routes without
// engines the rest came to callers as a whole answer (review/14).
func TestCutStreamsLookIncompleteOnAllRoutes(t *testing.T) {
	var long strings.Builder
	for i := range longEvents {
		_, _ = fmt.Fprintf(&long, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 100))
	}
	for name, end := range endings {
		for _, body := range []string{cutEvents, long.String() + cutEvents} {
			w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: endWith(end, body)})
			w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 1, Intercept: endWith(end, body)})
			w.eventually(func() bool { return w.do(e, http.MethodPost, "/once/warm", "warm", "x").status == http.StatusOK })
			for _, target := range []string{"/notes/cut", "/once/cut", "/act/cut", "/read/cut"} {
				got := w.do(e, http.MethodPost, target, "id"+target, "x")
				w.c.Check(got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue,
					qt.Commentf("%s, %s, %d bytes: %d with %d bytes", name, target, len(body), got.status, len(got.body)))
			}
		}
	}
}

// A stream that ends with its connection before its first event has been cut off, too. Of services without engines it came as
// a whole, empty answer.
func TestStreamsWithoutEventsLookIncomplete(t *testing.T) {
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: endWith(endings["close"], "")})
	got := w.do(e, http.MethodPost, "/notes/cut", "id-1", "x")
	w.c.Check(got.status, qt.Equals, http.StatusBadGateway)
}

// A repeatable request whose answer is cut inside an event goes to another upstream. The cut answer was passed on.
func TestCutStreamsOfRepeatableRequestsAreRetried(t *testing.T) {
	var cut atomic.Int64
	act := func(w http.ResponseWriter, r *http.Request, n int) bool {
		if !strings.HasSuffix(r.URL.Path, "/cut") || cut.Add(1) > 1 {
			return false
		}
		return endWith(endings["close"], cutEvents)(w, r, n)
	}
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: act}, &cloud.Upstream{ID: "up-2", Intercept: act})
	got := w.do(e, http.MethodGet, "/read/cut", "id-1", "")
	w.c.Check(got.status, qt.Equals, http.StatusOK)
	w.c.Check(got.body, qt.Matches, "answer of up-. to id-1")
	w.c.Check(cut.Load(), qt.Equals, int64(2))
}

// Events are forwarded as soon as the upstream has written them. Those of services without engines came together, after the
// last one.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	for name, pool := range map[string]string{"/notes/slow": "plain", "/once/slow": "engines"} {
		read := make(chan struct{}) // closed when the caller has the first event
		act := func(w http.ResponseWriter, r *http.Request, _ int) bool {
			if !strings.HasSuffix(r.URL.Path, "/slow") {
				return false
			}
			cloud.WriteEvents(w, 1, 1)
			select {
			case <-read:
				cloud.WriteEvents(w, 2, 2)
			case <-r.Context().Done():
			}
			return true
		}
		w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: act})
		w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 1, Intercept: act})
		w.eventually(func() bool { return w.do(e, http.MethodPost, "/once/warm", "warm", "x").status == http.StatusOK })
		conn, err := net.Dial("tcp", e.front)
		w.c.Assert(err, qt.IsNil)
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: svc.example\r\nCredential: key-one\r\nRequest-Id: slow\r\nDeadline-Ms: 3000\r\n"+
			"Content-Length: 0\r\n\r\n", name)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		w.c.Assert(err, qt.IsNil, qt.Commentf("%s to %s: nothing arrives before the last event", name, pool))
		first := make([]byte, len("id: 1\ndata: token 1\n\n"))
		_, err = io.ReadFull(got.Body, first)
		w.c.Check(err, qt.IsNil)
		close(read)
		rest, err := io.ReadAll(got.Body)
		w.c.Check(err, qt.IsNil)
		w.c.Check(string(first)+string(rest), qt.Equals, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n")
		_ = conn.Close()
	}
}

// A stream whose caller leaves is stopped at its upstream, and no longer counts as running there. It had not begun for the
// caller before its last event.
func TestStreamsThatTheirCallersLeaveAreStopped(t *testing.T) {
	stopped := make(chan struct{})
	act := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasSuffix(r.URL.Path, "/left") {
			return false
		}
		defer close(stopped)
		for i := 1; r.Context().Err() == nil; i++ {
			cloud.WriteEvents(w, i, i)
			time.Sleep(5 * time.Millisecond)
		}
		return true
	}
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: act})
	running := func() int {
		return w.ask(e, "GET /read/x HTTP/1.1\nHost: svc.example\nCredential: key-one\n").Upstreams[0].Running
	}
	w.c.Check(w.sendRaw(e, "POST /notes/left HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: left\r\nCredential: key-one\r\n"+
		"Deadline-Ms: 60000\r\nContent-Length: 1\r\n\r\nx"), qt.Equals, "HTTP/1.1 200 OK")
	select {
	case <-stopped:
	case <-time.After(waitLimit):
		t.Fatal("the stream was not stopped")
	}
	w.eventually(func() bool { return running() == 0 })
}

// HEAD of a stream has a head and no events, however long the upstream says that the body would be. Engines' answers were
// taken for cut streams and came as 502, or lost their length.
func TestHeadOfAStreamHasNoEvents(t *testing.T) {
	act := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Method != http.MethodHead {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		if strings.HasSuffix(r.URL.Path, "/length") {
			w.Header().Set("Content-Length", "40")
		}
		w.WriteHeader(http.StatusOK)
		return true
	}
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: act})
	w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 1, Intercept: act})
	w.eventually(func() bool { return w.do(e, http.MethodPost, "/once/warm", "warm", "x").status == http.StatusOK })
	for _, target := range []string{"/notes/x", "/notes/length", "/once/x", "/once/length", "/read/x", "/read/length"} {
		got := w.do(e, http.MethodHead, target, "id"+target, "")
		w.c.Check(got.err, qt.IsNil, qt.Commentf("%s", target))
		w.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", target))
		w.c.Check(got.header.Get("Content-Length") == "40", qt.Equals, strings.HasSuffix(target, "/length"), qt.Commentf("%s", target))
	}
}
