package listen_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
)

// startServer starts a server with the given handlers by path, and returns its base URL.
func startServer(c *qt.C, handlers map[string]http.HandlerFunc) string {
	logx.Disable()
	var routes []rest.Route
	for path, h := range handlers {
		routes = append(routes, rest.Route{Method: http.MethodPost, Path: path, Handler: h})
	}
	s, err := listen.New("127.0.0.1:0", routes)
	c.Assert(err, qt.IsNil)
	done := make(chan error)
	go func() { done <- s.Serve() }()
	c.Cleanup(func() {
		c.Check(s.Close(), qt.IsNil)
		c.Check(<-done, qt.IsNil)
	})
	return "http://" + s.Addr()
}

// post sends a body and returns the status and the body of the answer.
func post(c *qt.C, url string, body []byte, header http.Header) (int, []byte) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, data
}

func TestFailuresTripNoBreaker(t *testing.T) {
	c := qt.New(t)
	const calls = 500
	var reached int
	url := startServer(c, map[string]http.HandlerFunc{"/fail": func(w http.ResponseWriter, _ *http.Request) {
		reached++
		w.WriteHeader(http.StatusInternalServerError)
	}})
	for range calls {
		status, _ := post(c, url+"/fail", nil, nil)
		c.Assert(status, qt.Equals, http.StatusInternalServerError)
	}
	c.Assert(reached, qt.Equals, calls)
}

func TestNothingIsShedWithManyInFlight(t *testing.T) {
	c := qt.New(t)
	const calls = 400
	var inside, answered sync.WaitGroup
	inside.Add(calls)
	release := make(chan struct{})
	url := startServer(c, map[string]http.HandlerFunc{"/wait": func(http.ResponseWriter, *http.Request) {
		inside.Done()
		<-release
	}})
	for range calls {
		answered.Go(func() {
			status, _ := post(c, url+"/wait", nil, nil)
			c.Check(status, qt.Equals, http.StatusOK)
		})
	}
	inside.Wait() // returns only once all calls are in the handler at the same time
	close(release)
	answered.Wait()
}

func TestNoTimeoutAndNoBodyLimit(t *testing.T) {
	c := qt.New(t)
	const size = 3 << 20 // the library's default limit is 1 MiB
	url := startServer(c, map[string]http.HandlerFunc{"/body": func(w http.ResponseWriter, r *http.Request) {
		_, limited := r.Context().Deadline()
		c.Check(limited, qt.IsFalse)
		n, err := io.Copy(io.Discard, r.Body)
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, int64(size))
		c.Check(http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
	}})
	status, _ := post(c, url+"/body", make([]byte, size), nil)
	c.Assert(status, qt.Equals, http.StatusOK)
}

func TestBodyIsNotDecompressed(t *testing.T) {
	c := qt.New(t)
	url := startServer(c, map[string]http.HandlerFunc{"/echo": func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}})
	status, data := post(c, url+"/echo", []byte("not gzip"), http.Header{"Content-Encoding": {"gzip"}})
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(string(data), qt.Equals, "not gzip")
}

func TestNoDevelopmentServer(t *testing.T) {
	const devServer = ":6060" // default address of the library's development server
	c := qt.New(t)
	before, err := net.Listen("tcp", devServer)
	if err != nil {
		t.Skipf("another process holds %s: %v", devServer, err)
	}
	c.Assert(before.Close(), qt.IsNil)
	startServer(c, nil)
	after, err := net.Listen("tcp", devServer)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Close(), qt.IsNil)
}

func TestShutdownWaitsForRequests(t *testing.T) {
	c := qt.New(t)
	inside, release := make(chan struct{}), make(chan struct{})
	s, err := listen.New("127.0.0.1:0", []rest.Route{{Method: http.MethodPost, Path: "/wait", Handler: func(http.ResponseWriter, *http.Request) {
		close(inside)
		<-release
	}}})
	c.Assert(err, qt.IsNil)
	served, stopped, status := make(chan error, 1), make(chan error, 1), make(chan int, 1)
	go func() { served <- s.Serve() }()
	go func() {
		code, _ := post(c, "http://"+s.Addr()+"/wait", nil, nil)
		status <- code
	}()
	<-inside
	go func() { stopped <- s.Shutdown(context.Background()) }()
	c.Assert(<-served, qt.IsNil) // no new connections are accepted from here on
	select {
	case <-stopped:
		c.Fatal("shutdown did not wait")
	default:
	}
	close(release)
	c.Assert(<-stopped, qt.IsNil)
	c.Assert(<-status, qt.Equals, http.StatusOK)
}
