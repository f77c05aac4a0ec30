package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const uploadBytes = 4 << 20

// startBroken starts an entry and a plain upstream and an engine, whose connections act handles after the head of a
// request, before its body; it may close them.
func startBroken(t *testing.T, act func(conn *net.TCPConn, r *http.Request)) (*testbed, *entry) {
	w := newTestbed(t)
	w.configure(`"body_bytes": 1000`, `"body_bytes": 8000000`)
	for id, pool := range map[string]string{"up-1": "plain", "engine-1": "engines"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		w.c.Assert(err, qt.IsNil)
		w.c.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serveHeads(conn.(*net.TCPConn), act)
			}
		}()
		w.upstreams[id], w.addresses[id] = &cloud.Upstream{ID: id}, listener.Addr().String()
		w.listUpstream(id, pool, "ready")
	}
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusOK)
	return w, e
}

// serveHeads reads requests from a connection and passes each to act.
func serveHeads(conn *net.TCPConn, act func(conn *net.TCPConn, r *http.Request)) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		act(conn, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// answerHead returns the beginning of an answer to a request, with additional lines.
func answerHead(r *http.Request, status string, lines ...string) string {
	kind := "text/plain"
	if strings.HasPrefix(r.URL.Path, "/once/") {
		kind = "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: %s\r\n%s\r\n", status,
		r.Header.Get("Request-Id"), kind, strings.Join(lines, ""))
}

const event = "id: 1\ndata: token\n\n"

// An upstream answers an upload at once, without a length, and resets the connection within the body. Whether the reader or
// the writer meets the reset is a matter of chance, so there are several requests.
func TestAnswersOfResetConnectionsLookIncomplete(t *testing.T) {
	w, e := startBroken(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, answerHead(r, "200 OK")+event)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	for _, path := range []string{"/act/x", "/once/x"} {
		for i := range 20 {
			got := w.do(e, http.MethodPost, path, fmt.Sprintf("id%s-%d", path, i), strings.Repeat("x", uploadBytes-i))
			w.c.Check(got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue,
				qt.Commentf("%s: %d %q", path, got.status, got.body))
		}
	}
}

// An answer that breaks HTTP is refused with 502 at once, not with 504 at the deadline.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	data, err := os.ReadFile("testdata/malformed.yaml")
	qt.Assert(t, err, qt.IsNil)
	var cases []struct {
		Name, Status, Text string
		Closes             bool // the connection ends with the text
	}
	qt.Assert(t, yaml.Unmarshal(data, &cases), qt.IsNil)
	var sent atomic.Int64 // index of the case
	w, e := startBroken(t, func(conn *net.TCPConn, r *http.Request) {
		test := cases[sent.Load()]
		sound := strings.TrimSuffix(answerHead(r, test.Status), "\r\n")
		_, _ = io.WriteString(conn, sound+strings.ReplaceAll(test.Text, "ID", r.Header.Get("Request-Id")))
		if test.Closes {
			_ = conn.CloseWrite()
		}
	})
	for i, test := range cases {
		sent.Store(int64(i))
		for _, path := range []string{"/act/x", "/once/x"} {
			started := time.Now()
			got := w.do(e, http.MethodPost, path, fmt.Sprintf("id%s-%d", path, i), "prompt")
			w.c.Check(got.err, qt.IsNil, qt.Commentf("%s at %s", test.Name, path))
			w.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s at %s: %q", test.Name, path, got.body))
			w.c.Check(time.Since(started) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s at %s: %v", test.Name, path, time.Since(started)))
		}
	}
}

// An upstream gives its whole answer before it has read the upload, and then reads on.
func TestWholeEarlyAnswersAreDelivered(t *testing.T) {
	w, e := startBroken(t, func(conn *net.TCPConn, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/length") {
			_, _ = io.WriteString(conn, answerHead(r, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(event)))+event)
			return
		}
		_, _ = io.WriteString(conn, answerHead(r, "200 OK")+event)
		_ = conn.CloseWrite()
	})
	for _, path := range []string{"/act/length", "/act/end", "/once/length", "/once/end"} {
		for i := range 5 {
			got := w.do(e, http.MethodPost, path, fmt.Sprintf("id%s-%d", path, i), strings.Repeat("x", uploadBytes))
			w.c.Check(got.err, qt.IsNil)
			w.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
			w.c.Check(got.body, qt.Equals, event)
		}
	}
}
