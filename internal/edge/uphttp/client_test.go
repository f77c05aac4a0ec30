package uphttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// decode parses the header of an answer made by the function answer.
func decode(h http.Header) call.Answer { return call.Answer{RequestID: h.Get("Id")} }

// answer returns the bytes of an answer to the request with the given ID.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// server answers the nth request of each connection, counted from 1, with what act writes; act returns false to close
// the connection.
func server(c *qt.C, act func(conn net.Conn, id string, nth int) bool) (address string, arrivals *atomic.Int64) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	arrivals = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for nth := 1; ; nth++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					arrivals.Add(1)
					if !act(conn, r.Header.Get("Id"), nth) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), arrivals
}

// send sends one request and returns the body of its answer.
func send(client *uphttp.Client, address, method, id string) (string, error) {
	got, failure := client.Do(context.Background(), address, uphttp.Request{
		Method: method, URI: "/x", Host: "h", ID: id, Header: http.Header{"Id": {id}},
	})
	if failure != nil {
		return "", failure
	}
	defer got.Close()
	body, err := io.ReadAll(got)
	return string(body), err
}

func TestAnswersToOthersAreSkipped(t *testing.T) {
	c := qt.New(t)
	address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer("another", "not yours")+answer(id, "yours"))
		return true
	})
	client := uphttp.New(decode, time.Now, func() {})
	body, err := send(client, address, http.MethodPost, "1")
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "yours")
}

// An upstream that sends more after a complete answer must not have it taken as the answer to the next request.
func TestConnectionsWithLeftoversAreNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	dialed := 0
	written := make(chan struct{}, 3) // receives a value for each second answer that was written
	address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, answer(id, "body"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, answer(id, "again"))
		written <- struct{}{}
		return true
	})
	client := uphttp.New(decode, time.Now, func() { dialed++ })
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(client, address, http.MethodGet, id)
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, "body")
		<-written
	}
	c.Check(dialed, qt.Equals, 3)
}

func TestKeptConnectionsAreUsed(t *testing.T) {
	c := qt.New(t)
	dialed := 0
	address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(conn, answer(id, "body"))
		return true
	})
	client := uphttp.New(decode, time.Now, func() { dialed++ })
	for _, id := range []string{"1", "2", "3"} {
		_, err := send(client, address, http.MethodGet, id)
		c.Assert(err, qt.IsNil)
	}
	c.Check(dialed, qt.Equals, 1)
}

func TestRequestsAreNeverSentTwice(t *testing.T) {
	c := qt.New(t)
	address, arrivals := server(c, func(conn net.Conn, id string, nth int) bool {
		if nth == 1 {
			_, _ = io.WriteString(conn, answer(id, "body"))
			return true
		}
		return false // the second request on a reused connection is lost
	})
	client := uphttp.New(decode, time.Now, func() {})
	_, err := send(client, address, http.MethodGet, "1")
	c.Assert(err, qt.IsNil)
	_, err = send(client, address, http.MethodGet, "2")
	c.Check(fault.From(err).Verdict, qt.Equals, fault.MayHaveRun)
	c.Check(arrivals.Load(), qt.Equals, int64(2))
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	client := uphttp.New(decode, time.Now, func() {})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	_, err = send(client, closed, http.MethodPost, "1")
	c.Check(fault.From(err).Verdict, qt.Equals, fault.NotRun)
	for _, bytes := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Encoding: gzip\r\n\r\n", answer("2", "x")} {
		address, _ := server(c, func(conn net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(conn, bytes)
			return false
		})
		_, err = send(client, address, http.MethodPost, "1")
		c.Check(fault.From(err).Verdict, qt.Equals, fault.MayHaveRun, qt.Commentf("%q", bytes))
	}
}

func TestBodiesThatBreakOffAreNotComplete(t *testing.T) {
	c := qt.New(t)
	for _, head := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+head+"\r\n\r\n4\r\nbody\r\n")
			return false
		})
		_, err := send(uphttp.New(decode, time.Now, func() {}), address, http.MethodPost, "1")
		c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF, qt.Commentf(head))
	}
}

// When the answer ends before the request is fully written, the rest of the body may still be on its way, so the
// connection must not carry another request.
func TestEarlyAnswersDoNotReuseTheConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { // answers after the header, without reading the body
				head := make([]byte, 200)
				n, _ := conn.Read(head)
				if strings.HasPrefix(string(head[:n]), "POST") {
					_, _ = io.WriteString(conn, answer("1", "early"))
				}
			}()
		}
	}()
	dialed := 0
	client := uphttp.New(decode, time.Now, func() { dialed++ })
	for range 2 {
		got, failure := client.Do(t.Context(), listener.Addr().String(), uphttp.Request{
			Method: http.MethodPost, URI: "/x", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}}, Body: make([]byte, 32<<20),
		})
		c.Assert(failure == nil, qt.IsTrue)
		_, err := io.ReadAll(got)
		c.Assert(err, qt.IsNil)
		got.Close()
	}
	c.Check(dialed, qt.Equals, 2)
}

// FuzzAnswers checks that whatever an upstream writes, a request gets an answer with its own ID or an error, and none
// of the bytes reach the next request.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(answer("first", "body")))
	f.Add([]byte(answer("other", "body") + answer("first", "late")))
	f.Add([]byte(answer("first", "body") + answer("second", "forged")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("first", "x")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nId: first\r\nContent-Length: 5\r\n\r\nHTTP/"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: first\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.0 200\r\nId: first\r\nContent-Length: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
			if id == "first" {
				_, _ = conn.Write(data)
				return strings.HasPrefix(string(data), "HTTP/1.1") // the connection stays open
			}
			_, _ = io.WriteString(conn, answer(id, "right"))
			return true
		})
		client := uphttp.New(decode, time.Now, func() {})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		got, failure := client.Do(ctx, address, uphttp.Request{
			Method: "GET", URI: "/x", Host: "h", ID: "first", Header: http.Header{"Id": {"first"}},
		})
		if failure == nil {
			c.Assert(got.Head.RequestID, qt.Equals, "first")
			_, _ = io.ReadAll(got)
			got.Close()
		}
		body, err := send(client, address, "GET", "second")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "right")
	})
}

// A faulty upstream may send bytes without end in place of an answer. Each case must end at a limit in bytes or at the
// deadline of the request, with the connection closed.
func TestAnswersWithoutEnd(t *testing.T) {
	const most = 1 << 20 // bytes that a client may read, including socket buffers; the check allows 8 times as many
	for _, test := range []struct {
		name, first, again string        // first is sent once, then again until the connection is closed
		pause              time.Duration // between two writes of again; if 0, each writes 512 copies
	}{
		{name: "no answer", again: "garbage"},
		{name: "head line", first: "HTTP/1.1 200 OK\r\nId: 1\r\nX: ", again: "xxxxxxxx"},
		{name: "head lines", first: "HTTP/1.1 200 OK\r\nId: 1\r\n", again: "X: y\r\n"},
		{name: "informational answers", again: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "answers to others", again: "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
		{name: "body of an answer to another", first: "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", again: "xxxxxxxx"},
		{name: "chunk extension", first: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", again: "x=yyyyyy"},
		{name: "empty chunks with extensions", first: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", again: "1;xxxxxxxxxxxxxxxxxxxx\r\nb\r\n"},
		{name: "trailers", first: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", again: "X: y\r\n"},
		{name: "a byte now and then", first: "HTTP/1.1 200 OK\r\nX: ", again: "x", pause: 20 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			address, _ := server(c, func(conn net.Conn, _ string, _ int) bool {
				defer close(closed)
				chunk := test.again
				if test.pause == 0 {
					chunk = strings.Repeat(chunk, 512)
				}
				_, err := io.WriteString(conn, test.first)
				for n := 0; err == nil; time.Sleep(test.pause) {
					n, err = io.WriteString(conn, chunk)
					sent.Add(int64(n))
				}
				return false
			})
			client := uphttp.New(decode, time.Now, func() {})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			got, failure := client.Do(ctx, address, uphttp.Request{
				Method: http.MethodPost, URI: "/x", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}}})
			if failure == nil {
				_, err := io.Copy(io.Discard, got)
				c.Check(err, qt.IsNotNil, qt.Commentf("an answer without end is never whole"))
				got.Close()
			} else {
				c.Check(failure.Verdict, qt.Equals, fault.MayHaveRun)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				c.Fatal("the connection is still open")
			}
			c.Check(sent.Load() < 8*most, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

func TestDuplicateBodiesAreReported(t *testing.T) {
	c := qt.New(t)
	address, _ := server(c, func(conn net.Conn, id string, nth int) bool {
		_, _ = io.WriteString(conn, answer(id, fmt.Sprint("body ", (nth+1)/2))) // each body is sent twice
		return true
	})
	client := uphttp.New(decode, time.Now, func() {})
	var duplicate []bool
	for i := range 3 {
		got, failure := client.Do(context.Background(), address, omittable(fmt.Sprint(i)))
		c.Assert(failure == nil, qt.IsTrue)
		body, err := io.ReadAll(got)
		c.Assert(err, qt.IsNil)
		duplicate = append(duplicate, got.CheckDuplicate(xxhash.Sum64(body)))
		got.Close()
	}
	c.Check(duplicate, qt.DeepEquals, []bool{false, true, false},
		qt.Commentf("the third answer comes on a new connection"))
}
