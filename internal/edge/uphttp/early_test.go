package uphttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

const (
	uploadBytes = 32 << 20 // more than the kernel buffers, so that the upload is still being written
	unframed    = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
)

// earlyServer begins to answer each request before its body is read: it writes text, and calls end when proceed is closed.
func earlyServer(c *qt.C, text string, proceed <-chan struct{}, end func(*net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				<-proceed
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a request with a long body and returns its answer, of which the first 4 bytes of the body are read.
func upload(c *qt.C, address string) *uphttp.Answer {
	got, failure := uphttp.New(decode, time.Now, func() {}).Do(c.Context(), address, uphttp.Request{
		Method: http.MethodPost, URI: "/x", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}}, Body: make([]byte, uploadBytes),
	})
	c.Assert(failure == nil, qt.IsTrue)
	c.Cleanup(got.Close)
	_, err := io.ReadFull(got, make([]byte, 4))
	c.Assert(err, qt.IsNil)
	return got
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// An upstream resets the connection in an answer without a length, while the request is being written. The kernel reports
// the reset to the writer only; to the reader the connection looks closed in order.
func TestAResetThatTheWriterMeetsBreaksTheAnswer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                      reset,
		"closed with unread bytes":   func(conn *net.TCPConn) { _ = conn.Close() },
		"reset after its side ended": func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			proceed := make(chan struct{})
			got := upload(c, earlyServer(c, unframed+"part", proceed, end))
			c.Assert(got.HasSent(), qt.IsFalse)
			close(proceed)
			for !got.HasSent() { // until the writer has met the reset
				time.Sleep(time.Millisecond)
			}
			_, err := io.ReadAll(got)
			c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}

// An upstream ends its side, reads on, and closes the connection before it has read the whole request.
func TestAResetAfterTheEndOfAnEarlyAnswerBreaksIt(t *testing.T) {
	c := qt.New(t)
	proceed := make(chan struct{})
	got := upload(c, earlyServer(c, unframed+"part", proceed, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, uploadBytes/4)
		time.Sleep(20 * time.Millisecond)
		reset(conn)
	}))
	close(proceed)
	_, err := io.ReadAll(got)
	c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
}

// Whole answers that come before the upstream has read the request are delivered, also if it does not read on.
func TestWholeEarlyAnswers(t *testing.T) {
	delivered := make(chan struct{}) // closed when all answers are
	defer close(delivered)
	readAll := func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }
	for name, test := range map[string]struct {
		text string
		end  func(*net.TCPConn)
	}{
		"with a length":             {answer("1", "whole"), readAll},
		"with a length, then reset": {answer("1", "whole"), reset},
		"in chunks":                 {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", readAll},
		"that end with the connection": {unframed + "whole", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			readAll(conn)
		}},
		"of an upstream that reads slowly": {unframed + "whole", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			for b := make([]byte, 1<<10); ; time.Sleep(10 * time.Millisecond) {
				if _, err := conn.Read(b); err != nil {
					return
				}
			}
		}},
		"of an upstream that does not read": {unframed + "whole", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			<-delivered
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			proceed := make(chan struct{})
			got := upload(c, earlyServer(c, test.text, proceed, test.end))
			close(proceed)
			started := time.Now()
			rest, err := io.ReadAll(got)
			c.Assert(err, qt.IsNil)
			c.Check(string(rest), qt.Equals, "e")
			c.Check(time.Since(started) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		})
	}
}
