package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// serveBounded serves requests behind an Intake and returns a connection to it with its reader.
func serveBounded(c *qt.C, b *memory.Budget, handle func(in *Intake, w http.ResponseWriter, r *http.Request)) (net.Conn, *bufio.Reader) {
	in := New(Options{Limits: func() Limits { return Limits{} }, Budget: b, Now: time.Now, Log: zap.NewNop()})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(in, w, r) })}
	in.Attach(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(in.Listen(l)) }()
	c.Cleanup(func() { _ = s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func noRoute(_ *Intake, w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no route", http.StatusNotFound)
}

// Guards against heads without a bound behind a message that the scanner and net/http frame differently: in HTTP/1.0,
// net/http ignores Transfer-Encoding.
func TestHeadsAfterOldMessagesAreBounded(t *testing.T) {
	c := qt.New(t)
	conn, reader := serveBounded(c, memory.New(144<<20), func(in *Intake, w http.ResponseWriter, r *http.Request) {
		if body, failure := in.ReadBody(w, r, BodyOptions{}); failure == nil {
			body.Release()
		}
	})
	fmt.Fprint(conn, "POST / HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 18\r\n\r\n1fffffffffffff00\r\n")
	first, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, first.Body)
	go fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("A:\r\n", 200_000)+"\r\n")
	second, err := http.ReadResponse(reader, nil)
	if err == nil {
		c.Check(second.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// Guards against a body that is counted as thousands of messages, because its length stands behind many blanks.
func TestOverlongFramingFieldsAreRefused(t *testing.T) {
	c := qt.New(t)
	conn, reader := serveBounded(c, memory.New(144<<20), noRoute)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length:%s30\r\n\r\n%s", strings.Repeat(" ", 300), strings.Repeat("x\n\n", 10))
	answer, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against a 400 for a legitimate request whose trailers find no memory.
func TestTrailersWithoutMemoryAreNoFaultOfTheClient(t *testing.T) {
	c := qt.New(t)
	b := memory.New(10 << 20)
	failures := make(chan *fault.Error, 1)
	conn, _ := serveBounded(c, b, func(in *Intake, w http.ResponseWriter, r *http.Request) {
		used, limit := b.Load(memory.Heads)
		b.TryAcquire(memory.Heads, "", limit-used)
		_, failure := in.ReadBody(w, r, BodyOptions{})
		failures <- failure
	})
	line := ": " + strings.Repeat("b", 60) + "\r\n"
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%sTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("A"+line, 62))
	time.Sleep(100 * time.Millisecond)
	fmt.Fprintf(conn, "3\r\nabc\r\n0\r\n%s\r\n", strings.Repeat("T"+line, 10))
	failure := <-failures
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.Code, qt.Equals, fault.Overloaded)
	c.Check(failure.Verdict, qt.Equals, fault.NotRun)
}

// Guards against bodies of one team that are given up although another team only lacks a part of its own share.
func TestATeamAtItsShareCostsOthersNoBody(t *testing.T) {
	c := qt.New(t)
	b := memory.New(10 << 20)
	conn, reader := serveBounded(c, b, func(in *Intake, w http.ResponseWriter, r *http.Request) {
		body, failure := in.ReadBody(w, r, BodyOptions{Owner: r.Header.Get("Owner")})
		if failure != nil {
			http.Error(w, failure.Message, http.StatusServiceUnavailable)
			return
		}
		body.Release()
	})
	_, part := b.Load(memory.Bodies)
	c.Assert(b.TryAcquire(memory.Bodies, "a", int64(0.7*float64(part))), qt.IsTrue)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nOwner: b\r\nContent-Length: %d\r\n\r\nx", 200<<10)
	time.Sleep(600 * time.Millisecond) // until the body counts as one without progress
	other, err := net.Dial("tcp", conn.RemoteAddr().String())
	c.Assert(err, qt.IsNil)
	defer other.Close()
	fmt.Fprintf(other, "POST / HTTP/1.1\r\nHost: x\r\nOwner: a\r\nContent-Length: %d\r\n\r\n", 200<<10)
	refused, err := http.ReadResponse(bufio.NewReader(other), nil)
	c.Assert(err, qt.IsNil)
	c.Check(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	fmt.Fprint(conn, strings.Repeat("x", 200<<10-1))
	served, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Check(served.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against connections that are held for good: a handler that ends by a panic left the rest of the body to net/http, which
// waits for it without a deadline (review/7).
func TestAbortedRequestsDoNotHoldTheirConnections(t *testing.T) {
	for name, reads := range map[string]bool{"before the body was read": false, "after it made no progress": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, reader := serveBounded(c, memory.New(144<<20), func(in *Intake, w http.ResponseWriter, r *http.Request) {
				if reads {
					_, failure := in.ReadBody(w, r, BodyOptions{Until: time.Now().Add(100 * time.Millisecond)})
					c.Check(failure.Code, qt.Equals, fault.SlowBody)
				}
				panic(http.ErrAbortHandler)
			})
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("x", 59_999))
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, err := reader.ReadByte()
			c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection is still open"))
		})
	}
}
