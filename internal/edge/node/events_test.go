package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

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

// A repeatable request whose answer is cut inside an event goes to another upstream.
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
