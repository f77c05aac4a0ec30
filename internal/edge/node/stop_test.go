package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// grace is the grace period of the entries.
const grace = 4 * time.Second

// keptConnection sends requests one after the other on a connection that stays open until the entry is gone.
type keptConnection struct {
	net.Conn
	r *bufio.Reader
}

func (w *testbed) keepConnection(e *entry) *keptConnection {
	conn, err := net.Dial("tcp", e.front)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { _ = conn.Close() })
	return &keptConnection{conn, bufio.NewReader(conn)}
}

// head returns the head of a request that must not be repeated, with a body of one byte.
func head(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: " + id +
		"\r\nCredential: key-one\r\nDeadline-Ms: 20000\r\nContent-Length: 1\r\n\r\n"
}

// finish reads the answer to a request and returns its status; 0 if there is no whole answer.
func (k *keptConnection) finish() int {
	got, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, got.Body); err != nil {
		return 0
	}
	return got.StatusCode
}

// checkAnswered checks that a request which ran has an answer, and that one which was refused has not run.
func (w *testbed) checkAnswered(id string, status, runs int) {
	comment := qt.Commentf("%s: status %d, %d runs", id, status, runs)
	if runs > 0 {
		w.c.Check(status, qt.Equals, http.StatusOK, comment)
	}
	if status == http.StatusServiceUnavailable {
		w.c.Check(runs, qt.Equals, 0, comment)
	}
}

// Callers send until the process is gone, requests that take most of their route's timeout.
func TestRequestsTakenLateInTheGraceAreAnsweredOrNotRun(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Work: 900 * time.Millisecond}
	w, e := startPlain(t, u)
	stopped := time.Now()
	e.stop()
	var wg sync.WaitGroup
	statuses := sync.Map{}
	for i := time.Duration(0); i < grace/(50*time.Millisecond); i++ {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(i * 50 * time.Millisecond)))
			conn, err := net.Dial("tcp", e.front)
			if err != nil {
				return
			}
			defer conn.Close()
			k := &keptConnection{conn, bufio.NewReader(conn)}
			id := fmt.Sprint("id-", int(i))
			_, _ = io.WriteString(k, head("/act/x", id)+"x")
			statuses.Store(id, k.finish())
		})
	}
	wg.Wait()
	w.c.Check(<-e.done, qt.IsNil)
	w.c.Check(u.RunCount("id-5"), qt.Equals, 1)
	statuses.Range(func(id, status any) bool {
		w.checkAnswered(id.(string), status.(int), u.RunCount(id.(string)))
		return true
	})
}

// slowEngine returns an engine that takes a second for the request id-1.
func slowEngine() *cloud.Upstream {
	return &cloud.Upstream{ID: "engine-1", Events: 2, Intercept: func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") == "id-1" {
			time.Sleep(time.Second)
		}
		return false
	}}
}

// The body of a request is whole only shortly before the end of the grace.
func TestARequestWhoseBodyComesLateInTheGraceIsNotRun(t *testing.T) {
	engine := slowEngine()
	w := startStaged(t, 1, engine)
	w.configure(`"timeout_ms": 3000`, `"timeout_ms": 20000`)
	time.Sleep(time.Second)
	k := w.keepConnection(w.entries[0])
	_, _ = io.WriteString(k, head("/once/x", "id-1"))
	time.Sleep(100 * time.Millisecond)
	w.entries[0].stop()
	time.Sleep(grace - 800*time.Millisecond)
	_, _ = io.WriteString(k, "x")
	w.c.Check(k.finish(), qt.Equals, http.StatusServiceUnavailable)
	w.c.Check(engine.RunCount("id-1"), qt.Equals, 0)
}

// The stages of a request are done only shortly before the end of the grace, and its engine needs longer.
func TestARequestThatIsDecidedLateInTheGraceIsNotRun(t *testing.T) {
	engine := slowEngine()
	w := startStaged(t, 1, engine)
	w.configure(`"timeout_ms": 3000`, `"timeout_ms": 20000`, `"call_ms": 20`, `"call_ms": 2800`)
	w.startUpstream("second", &cloud.Upstream{ID: "slow", Work: 2800 * time.Millisecond})
	w.store.Put("keyed.servers", "second-0", nil)
	w.store.Put("keyed.servers", "second-1", nil)
	time.Sleep(time.Second)
	go func() {
		time.Sleep(100 * time.Millisecond)
		w.entries[0].stop()
	}()
	got := w.generate(w.entries[0], "id-1", "Deadline-Ms", "20000")
	w.c.Check(got.err, qt.IsNil)
	w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Check(engine.RunCount("id-1"), qt.Equals, 0)
}
