package uphttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

// ask sends one request and returns the answer that a server writes, which ends with its connection.
func ask(c *qt.C, method, text string) *uphttp.Answer {
	address, _ := server(c, func(conn net.Conn, _ string, _ int) bool {
		_, _ = io.WriteString(conn, text)
		return false
	})
	got, failure := uphttp.New(decode, time.Now, func() {}).Do(context.Background(), address,
		uphttp.Request{Method: method, URI: "/x", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}}})
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Cleanup(got.Close)
	return got
}

// An event stream that ends inside an event is incomplete, in whichever pieces it arrives. The end of its connection passed for
// the end of its body (review/14).
func TestEventStreamsEndAfterAnEvent(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("testdata/events.yaml")
	c.Assert(err, qt.IsNil)
	var cases []struct {
		Body   string
		Inside bool
	}
	c.Assert(yaml.Unmarshal(data, &cases), qt.IsNil)
	for _, tc := range cases {
		for size := 1; size < 9; size++ {
			got := ask(c, http.MethodGet, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n"+tc.Body)
			var body []byte
			for err = nil; err == nil; {
				var n int
				p := make([]byte, size)
				n, err = got.Read(p)
				body = append(body, p[:n]...)
			}
			want := io.EOF
			if tc.Inside {
				want = io.ErrUnexpectedEOF
			}
			c.Check(err, qt.Equals, want, qt.Commentf("%q by %d", tc.Body, size))
			c.Check(string(body), qt.Equals, tc.Body)
		}
	}
}

// Only successful answers that say that they are event streams must end after an event.
func TestOtherAnswersMayEndAnywhere(t *testing.T) {
	const body = "id: 1\ndata"
	for _, tc := range []struct {
		method, status, kind string
		inside               bool
	}{
		{http.MethodGet, "200 OK", "text/event-stream", true},
		{http.MethodGet, "206 Partial Content", "text/event-stream", true},
		{http.MethodGet, "200 OK", "Text/Event-Stream; charset=utf-8", true},
		{http.MethodGet, "200 OK", "text/event-stream; charset", true},
		{http.MethodGet, "200 OK", "text/plain", false},
		{http.MethodGet, "200 OK", "text/event-streams", false},
		{http.MethodGet, "500 Failed", "text/event-stream", false},
		{http.MethodHead, "200 OK", "text/event-stream", false},
	} {
		c := qt.New(t)
		text := fmt.Sprintf("HTTP/1.1 %s\r\nId: 1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", tc.status, tc.kind, len(body))
		if tc.method != http.MethodHead {
			text += body
		}
		_, err := io.ReadAll(ask(c, tc.method, text))
		c.Check(err != nil, qt.Equals, tc.inside, qt.Commentf("%+v: %v", tc, err))
	}
}
