package node_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// startPlain starts an entry and upstreams of the pool "plain", and waits until the entry serves.
func startPlain(t *testing.T, upstreams ...*cloud.Upstream) (*testbed, *entry) {
	w := newTestbed(t)
	w.configure()
	for _, u := range upstreams {
		w.startUpstream("plain", u)
	}
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusOK)
	w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/warm", "warm", "").status == http.StatusOK })
	return w, e
}

// A body that stops short of its end is refused with an answer, and its connection is closed. Callers got none, and the
// connections were held for good (review/7).
func TestBodiesThatStopAreRefusedWithAnAnswer(t *testing.T) {
	up := &cloud.Upstream{ID: "up-1"}
	w, e := startPlain(t, up)
	conn, err := net.Dial("tcp", e.front)
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /act/x HTTP/1.1\r\nHost: svc.example\r\nCredential: key-one\r\nRequest-Id: short\r\nDeadline-Ms: 1000\r\n"+
		"Content-Length: 900\r\n\r\n%s", strings.Repeat("x", 899))
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReader(conn)
	got, err := http.ReadResponse(reader, nil)
	w.c.Assert(err, qt.IsNil)
	w.c.Check(got.StatusCode, qt.Equals, http.StatusRequestTimeout)
	_, err = io.Copy(io.Discard, got.Body)
	w.c.Check(err, qt.IsNil)
	_, err = reader.ReadByte()
	w.c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection is still open"))
	w.c.Check(up.RunCount("short"), qt.Equals, 0)
}

func TestRequestsReachUpstreamsUnchanged(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1"}
	w, e := startPlain(t, u)
	got := w.do(e, http.MethodPost, "/act/a%2Fb?x=%20y", "id-1", "the body", "Tenant", "forged", "Hold", "h",
		"Kv-From", "k", "Pin-Ms", "5", "X-Other", "kept", "Accept-Encoding", "identity")
	w.c.Assert(got.status, qt.Equals, http.StatusOK)
	w.c.Check(got.body, qt.Equals, "answer of up-1 to id-1")
	w.c.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp-up-1")
	arrivals := u.Arrivals()
	a := arrivals[len(arrivals)-1]
	w.c.Check(a.Target, qt.Equals, "/act/a%2Fb?x=%20y")
	w.c.Check(a.Host, qt.Equals, "svc.example")
	w.c.Check(a.Body, qt.Equals, "the body")
	w.c.Check(a.Header.Get("Tenant"), qt.Equals, "team-one")
	w.c.Check(a.Header.Get("Expect-Instance"), qt.Equals, "up-1")
	w.c.Check(a.Header.Get("X-Other"), qt.Equals, "kept")
	left, err := strconv.Atoi(a.Header.Get("Deadline-Ms"))
	w.c.Check(err, qt.IsNil)
	w.c.Check(left > 0 && left <= 1000, qt.IsTrue, qt.Commentf("%d ms left of the route's timeout of 1000 ms", left))
	for _, name := range []string{"Credential", "Hold", "Kv-From", "Pin-Ms"} {
		w.c.Check(a.Header.Get(name), qt.Equals, "", qt.Commentf(name))
	}
}

func TestAnswersWithoutABodyKeepTheirLength(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/read/old") {
			w.Header().Set("Etag", `"v1"`)
			w.WriteHeader(http.StatusNotModified)
			return true
		}
		return false
	}}
	w, e := startPlain(t, u)
	got := w.do(e, http.MethodHead, "/read/x", "id-1", "")
	w.c.Check(got.status, qt.Equals, http.StatusOK)
	w.c.Check(got.header.Get("Content-Length"), qt.Equals, strconv.Itoa(len("answer of up-1 to id-1")))
	got = w.do(e, http.MethodGet, "/read/old", "id-2", "")
	w.c.Check(got.status, qt.Equals, http.StatusNotModified)
	w.c.Check(got.header.Get("Etag"), qt.Equals, `"v1"`)
	w.c.Check(got.header.Values("Content-Length"), qt.HasLen, 0)
}

func TestEntryRefusesInvalidRequests(t *testing.T) {
	w := newTestbed(t)
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusServiceUnavailable)
	got := w.do(e, http.MethodGet, "/read/x", "id-0", "")
	w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("before a configuration is known"))
	w.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.configure()
	w.startUpstream("plain", &cloud.Upstream{ID: "up-1"})
	w.waitReady(e, http.StatusOK)
	w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/x", "id-1", "").status == http.StatusOK })
	w.c.Check(w.do(e, http.MethodGet, "/none/", "id-2", "").status, qt.Equals, http.StatusNotFound)
	w.c.Check(w.do(e, http.MethodGet, "/read/x", "id-3", "", "Credential", "other").status, qt.Equals,
		http.StatusUnauthorized)
	w.c.Check(w.do(e, http.MethodGet, "/read/open/x", "id-4", "", "Credential", "other").status, qt.Equals,
		http.StatusOK)
	large := w.do(e, http.MethodPost, "/act/x", "id-5", strings.Repeat("x", 2000))
	w.c.Check(large.status, qt.Equals, http.StatusRequestEntityTooLarge)
	w.c.Check(w.sendRaw(e, "POST /act/x HTTP/1.1\r\nHost: svc.example\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc"),
		qt.Contains, " 400 ")
}

func TestSafeRequestsAreRetried(t *testing.T) {
	failing := &cloud.Upstream{ID: "up-1", Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/read/bad") {
			w.Header().Set("Response-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
		return false
	}}
	w, e := startPlain(t, failing, &cloud.Upstream{ID: "up-2"})
	for i := range 6 {
		got := w.do(e, http.MethodGet, "/read/bad", fmt.Sprintf("id-%d", i), "")
		w.c.Check(got.status, qt.Equals, http.StatusOK)
	}
}

func TestUnsafeRequestsRunOnce(t *testing.T) {
	abort := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/act/lost") {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	one, two := &cloud.Upstream{ID: "up-1", Intercept: abort}, &cloud.Upstream{ID: "up-2", Intercept: abort}
	w, e := startPlain(t, one, two)
	before := len(one.Arrivals()) + len(two.Arrivals())
	got := w.do(e, http.MethodPost, "/act/lost", "id-1", "x")
	w.c.Check(got.status, qt.Equals, http.StatusBadGateway)
	w.c.Check(len(one.Arrivals())+len(two.Arrivals())-before, qt.Equals, 1)
}

func TestTruncatedAnswersAreNotPassedOn(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/act/cut") {
			return false
		}
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("only this"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}}
	w, e := startPlain(t, u)
	got := w.do(e, http.MethodPost, "/act/cut", "id-1", "x")
	w.c.Check(got.status, qt.Equals, http.StatusBadGateway)
}

func TestAnswersToOtherRequestsAreDropped(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/act/mixed") {
			return false
		}
		w.Header().Set("Request-Id", "another")
		_, _ = w.Write([]byte("the answer of another"))
		return true
	}}
	w, e := startPlain(t, u)
	got := w.do(e, http.MethodPost, "/act/mixed", "id-1", "x", "Deadline-Ms", "400")
	w.c.Check(got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, qt.IsTrue,
		qt.Commentf("%d", got.status))
	w.c.Check(got.body, qt.Not(qt.Contains), "another")
}

func TestRequestsThatCrashUpstreamsAreBlocked(t *testing.T) {
	crash := func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/act/poison") {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	w, e := startPlain(t, &cloud.Upstream{ID: "up-0", Intercept: crash})
	var statuses []int
	for i := range 4 {
		statuses = append(statuses, w.do(e, http.MethodPost, "/act/poison", fmt.Sprintf("id-%d", i), "same").status)
		// A new upstream replaces the crashed one.
		w.store.Put("keyed.servers", fmt.Sprintf("up-%d", i), nil)
		next := w.startUpstream("plain", &cloud.Upstream{ID: fmt.Sprintf("up-%d", i+1), Intercept: crash})
		w.eventually(func() bool {
			got := w.do(e, http.MethodPost, "/act/fine", fmt.Sprintf("fine-%d", i), "same")
			return got.status == http.StatusOK && len(next.Arrivals()) > 0
		})
	}
	w.c.Check(statuses, qt.DeepEquals, []int{502, 502, 503, 503})
}

// Many requests have the same content. When an upstream drops every other connection, that content must not be blocked
// as one that crashes upstreams.
func TestDroppedConnectionsOfOneUpstreamBlockNoRequest(t *testing.T) {
	abortHalf := func(_ http.ResponseWriter, r *http.Request, n int) bool {
		if n%2 == 0 && strings.HasPrefix(r.URL.Path, "/act/") {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: abortHalf})
	for i := range 8 {
		got := w.do(e, http.MethodPost, "/act/popular", fmt.Sprintf("id-%d", i), "same")
		w.c.Check(got.status, qt.Not(qt.Equals), http.StatusServiceUnavailable)
	}
}

func TestLeavingUpstreamsGetNoMoreRequests(t *testing.T) {
	one, two := &cloud.Upstream{ID: "up-1"}, &cloud.Upstream{ID: "up-2"}
	w, e := startPlain(t, one, two)
	w.listUpstream("up-1", "plain", "draining")
	time.Sleep(600 * time.Millisecond) // drain_ms of the settings
	before := len(one.Arrivals())
	for i := range 10 {
		w.c.Check(w.do(e, http.MethodGet, "/read/x", fmt.Sprintf("id-%d", i), "").status, qt.Equals, http.StatusOK)
	}
	w.c.Check(len(one.Arrivals()), qt.Equals, before)
}

// An upstream that announces in an answer that it is leaving gets no more requests, neither from the entry that read
// the answer nor from the leader, even if the list still shows it as ready.
func TestUpstreamsThatAnnounceLeavingGetNoMoreRequests(t *testing.T) {
	announceLeaving := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/read/last") {
			w.Header().Set("Server-Leaving", "1")
		}
		return false
	}
	one := &cloud.Upstream{ID: "up-1", Intercept: announceLeaving}
	w, e := startPlain(t, one)
	other := w.startEntry("entry-2")
	w.waitReady(other, http.StatusOK)
	// Time for the second entry to connect to its leader, the first entry, to which it passes notices on.
	time.Sleep(time.Second)
	w.c.Check(w.do(other, http.MethodGet, "/read/last", "id-1", "").status, qt.Equals, http.StatusOK)
	before := len(one.Arrivals())
	got := w.do(other, http.MethodGet, "/read/x", "id-2", "")
	w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the only upstream leaves"))
	w.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.eventually(func() bool {
		return w.do(e, http.MethodGet, "/read/y", "id-3", "").status == http.StatusServiceUnavailable
	})
	for _, status := range []int{http.StatusServiceUnavailable, 0} { // during an outage of the store, and after it
		w.store.SetStatus(status)
		w.listUpstream("up-1", "plain", "ready")
		time.Sleep(600 * time.Millisecond)
		w.c.Check(w.do(other, http.MethodGet, "/read/z", "id-4", "").status, qt.Equals, http.StatusServiceUnavailable)
	}
	for _, a := range one.Arrivals()[before:] {
		w.c.Check(a.Target, qt.Equals, "/read/y", qt.Commentf("sent by the leader before it received the notice"))
	}
}

func TestRetryAfterOfUpstreamsIsRespected(t *testing.T) {
	const pause = 700 * time.Millisecond
	var turnedAway atomic.Int64 // Unix ns
	one := &cloud.Upstream{ID: "up-1", Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/act/first") {
			return false
		}
		turnedAway.Store(time.Now().UnixNano())
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", "0.7")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}}
	w, e := startPlain(t, one)
	w.c.Check(w.do(e, http.MethodPost, "/act/first", "id-0", "x").status, qt.Equals, http.StatusServiceUnavailable)
	for i := 1; time.Since(time.Unix(0, turnedAway.Load())) < pause-100*time.Millisecond; i++ {
		begun := time.Now()
		got := w.do(e, http.MethodPost, "/act/more", fmt.Sprintf("id-%d", i), "x")
		w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		w.c.Check(err, qt.IsNil)
		w.c.Check(after > 0 && after <= pause.Seconds(), qt.IsTrue, qt.Commentf("%v", after))
		w.c.Check(time.Since(begun) < pause/2, qt.IsTrue, qt.Commentf("refused at once"))
		time.Sleep(20 * time.Millisecond)
	}
	w.c.Check(one.Arrivals(), qt.HasLen, 2, qt.Commentf("the first request of the test and the one that was turned away"))
	w.startUpstream("plain", &cloud.Upstream{ID: "up-2"})
	w.eventually(func() bool { return w.do(e, http.MethodPost, "/act/other", "id-o", "x").status == http.StatusOK })
}

// The leader picks no engine whose Retry-After to the sending entry has not passed.
func TestRetryAfterOfEnginesIsRespected(t *testing.T) {
	turnAway := func(w http.ResponseWriter, _ *http.Request, n int) bool {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	full, healthy := &cloud.Upstream{ID: "engine-1", Intercept: turnAway}, &cloud.Upstream{ID: "engine-2", Events: 2}
	w := startStaged(t, 1, full, healthy)
	for i := range 12 {
		got := w.do(w.entries[0], http.MethodPost, "/once/x", fmt.Sprintf("id-%d", i), "x", "Token-Counts", "10,10")
		w.c.Check(got.status, qt.Equals, http.StatusOK)
	}
	w.c.Check(len(full.Arrivals()) <= 1, qt.IsTrue, qt.Commentf("%d", len(full.Arrivals())))
}

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1"})
	w.configure("/read/", "/moved/")
	w.eventually(func() bool { return w.do(e, http.MethodGet, "/moved/x", "id-1", "").status == http.StatusOK })
	w.version = 0
	w.configure() // writes version 1 again
	w.store.Trim("keyed.op")
	time.Sleep(300 * time.Millisecond)
	w.c.Check(w.do(e, http.MethodGet, "/moved/x", "id-2", "").status, qt.Equals, http.StatusOK)
	w.c.Check(w.do(e, http.MethodGet, "/read/x", "id-3", "").status, qt.Equals, http.StatusNotFound)
}

func TestTrafficContinuesDuringAStoreOutage(t *testing.T) {
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1"})
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		w.store.SetStatus(status)
		time.Sleep(300 * time.Millisecond)
		w.c.Check(w.do(e, http.MethodGet, "/read/x", "id-1", "").status, qt.Equals, http.StatusOK)
	}
	w.store.SetStatus(0)
	w.store.Trim("keyed.servers")
	w.listUpstream("up-1", "plain", "ready")
	time.Sleep(600 * time.Millisecond)
	w.c.Check(w.do(e, http.MethodGet, "/read/x", "id-2", "").status, qt.Equals, http.StatusOK)
}

// startStaged starts entries, engines and the stage upstreams of two pools, and waits until the entries serve.
func startStaged(t *testing.T, entries int, engines ...*cloud.Upstream) *testbed {
	w := newTestbed(t)
	w.configure()
	for _, u := range engines {
		w.startUpstream("engines", u)
	}
	for _, pool := range []string{"first", "second"} {
		for i := range 2 {
			w.startUpstream(pool, &cloud.Upstream{ID: fmt.Sprintf("%s-%d", pool, i), Work: 20 * time.Millisecond})
		}
	}
	for i := range entries {
		w.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for _, e := range w.entries {
		w.waitReady(e, http.StatusOK)
		w.eventually(func() bool { return w.generate(e, "warm").status == http.StatusOK })
	}
	return w
}

// generate sends a request whose pieces pass through both stages before an engine answers it with a stream; headers are
// pairs of name and value.
func (w *testbed) generate(e *entry, id string, headers ...string) answer {
	return w.do(e, http.MethodPost, "/gen/x", id, "prompt", append([]string{"Model", "m", "Token-Counts", "100,10",
		"Prompt-Prefix", "a:50,b:50", "Pieces", "2,1", "Piece-Key", "piece-key"}, headers...)...)
}

func TestStagesRunBeforeTheEngine(t *testing.T) {
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 3})
	got := w.generate(w.entries[0], "id-1")
	w.c.Check(got.body, qt.Equals, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n")
	a := w.upstreams["engine-1"].Arrivals()
	w.c.Check(a[len(a)-1].Header.Get("Inputs"), qt.Matches, `second-\d/\d+`)
}

func TestRequestsMayShareAnID(t *testing.T) {
	w := startStaged(t, 2, &cloud.Upstream{ID: "engine-1", Events: 2, Work: 100 * time.Millisecond})
	for _, id := range []string{"same", ""} {
		answers := make(chan answer, 6)
		for i := range cap(answers) {
			go func() { answers <- w.generate(w.entries[i%2], id) }()
		}
		for range cap(answers) {
			got := <-answers
			w.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("ID %q", id))
			w.c.Check(strings.Count(got.body, "id: "), qt.Equals, 2)
		}
	}
}

func TestBrokenStreamsResumeAtAnotherEngine(t *testing.T) {
	broken := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "id-1" || r.Header.Get("Last-Event-Id") != "" {
			return false
		}
		w.Header().Set("Response-Stamp", "first stamp")
		cloud.WriteEvents(w, 1, 2)
		_, _ = w.Write([]byte("id: 3\ndata: hal"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: broken},
		&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: broken})
	got := w.generate(w.entries[0], "id-1")
	w.c.Check(got.err, qt.IsNil)
	w.c.Check(strings.Count(got.body, "id: "), qt.Equals, 4)
	w.c.Check(got.body, qt.Not(qt.Contains), "hal\n")
	w.c.Check(got.header.Get("Response-Stamp"), qt.Equals, "first stamp")
}

// failOnce answers the first request with the given ID with status 500 and lets the engine answer the others. It
// counts the requests with that ID in failed.
func failOnce(id string, failed *atomic.Int64) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != id || failed.Add(1) > 1 {
			return false
		}
		w.Header().Set("Response-Stamp", "stamp of the failure")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
}

func TestFailedStreamsAreRetriedAtAnotherEngine(t *testing.T) {
	var failed atomic.Int64
	act := failOnce("id-1", &failed)
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: act},
		&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: act})
	got := w.generate(w.entries[0], "id-1")
	w.c.Check(got.status, qt.Equals, http.StatusOK)
	w.c.Check(strings.Count(got.body, "id: "), qt.Equals, 4)
	w.c.Check(got.header.Get("Response-Stamp"), qt.Not(qt.Equals), "stamp of the failure")
	w.c.Check(failed.Load(), qt.Equals, int64(2))
}

func TestFailuresOfNonRepeatableStreamsArePassedOn(t *testing.T) {
	var failed atomic.Int64
	act := failOnce("id-1", &failed)
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: act},
		&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: act})
	got := w.do(w.entries[0], http.MethodPost, "/once/x", "id-1", "prompt")
	w.c.Check(got.status, qt.Equals, http.StatusInternalServerError)
	w.c.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp of the failure")
	w.c.Check(failed.Load(), qt.Equals, int64(1))
}

// An engine that fails every request immediately looks idle to the picker, which must not send it most requests.
func TestEnginesThatFailGetFewRequests(t *testing.T) {
	var failed atomic.Int64
	bad := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/once/") {
			return false
		}
		failed.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	slow := 50 * time.Millisecond
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 1, Intercept: bad},
		&cloud.Upstream{ID: "engine-2", Events: 1, Work: slow},
		&cloud.Upstream{ID: "engine-3", Events: 1, Work: slow})
	for i := range 30 {
		w.do(w.entries[0], http.MethodPost, "/once/x", fmt.Sprintf("id-%d", i), "prompt")
	}
	w.c.Check(failed.Load() <= 4, qt.IsTrue, qt.Commentf("%d of 30 failed", failed.Load()))
}

func TestBrokenNonRepeatableStreamsLookIncomplete(t *testing.T) {
	var arrivals atomic.Int64
	broken := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "id-1" {
			return false
		}
		arrivals.Add(1)
		cloud.WriteEvents(w, 1, 2)
		panic(http.ErrAbortHandler)
	}
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: broken},
		&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: broken})
	got := w.do(w.entries[0], http.MethodPost, "/once/x", "id-1", "prompt")
	w.c.Check(got.err, qt.IsNotNil, qt.Commentf("a broken answer must not look complete"))
	w.c.Check(arrivals.Load(), qt.Equals, int64(1))
}

func TestRequestsSurviveTheStopOfTheLeader(t *testing.T) {
	w := startStaged(t, 3, &cloud.Upstream{ID: "engine-1", Events: 2})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			e := w.entries[1+i%2]
			if got := w.generate(e, fmt.Sprintf("id-%d", i)); got.status != http.StatusOK || got.err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, fmt.Sprintf("%d: %d %v", i, got.status, got.err))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	w.entries[0].stop() // the leader, as it is the oldest entry
	wg.Wait()
	w.c.Check(failed, qt.HasLen, 0)
	w.c.Check(<-w.entries[0].done, qt.IsNil)
}

func TestPlannedStopFailsNoRequest(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Work: 500 * time.Millisecond}
	w, e := startPlain(t, u)
	results := make(chan answer, 3)
	for i := range 3 {
		go func() { results <- w.do(e, http.MethodPost, "/act/x", fmt.Sprintf("id-%d", i), "x") }()
	}
	w.eventually(func() bool { return len(u.Arrivals()) >= 4 })
	e.stop()
	w.waitReady(e, http.StatusServiceUnavailable)
	late := w.do(e, http.MethodPost, "/act/x", "id-late", "x")
	w.c.Check(late.status, qt.Equals, http.StatusOK,
		qt.Commentf("the balancer still sends new connections for a while"))
	var statuses []int
	for range 3 {
		statuses = append(statuses, (<-results).status)
	}
	slices.Sort(statuses)
	w.c.Check(statuses, qt.DeepEquals, []int{200, 200, 200})
	w.c.Check(<-e.done, qt.IsNil)
}

func TestRequestsInFlightOutliveTheDrain(t *testing.T) {
	u := &cloud.Upstream{ID: "up-1", Intercept: func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.URL.Path, "/act/long") {
			time.Sleep(800 * time.Millisecond)
		}
		return false
	}}
	w, e := startPlain(t, u)
	e.stop()
	// New requests are refused 3 s after the signal (serveAfterTerm), and the process ends 0.7 s later: 0.3 s
	// (exitMargin) before the end of the grace period of 4 s.
	time.Sleep(2500 * time.Millisecond)
	got := w.do(e, http.MethodPost, "/act/long", "id-1", "x")
	w.c.Check(got.status, qt.Equals, http.StatusOK)
	w.c.Check(got.err, qt.IsNil)
	w.c.Check(<-e.done, qt.IsNil)
}

func TestDisconnectedCallersCancelTheirRequest(t *testing.T) {
	stopped := make(chan struct{}, 1)
	u := &cloud.Upstream{ID: "up-1", Intercept: func(_ http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/act/long") {
			return false
		}
		<-r.Context().Done()
		stopped <- struct{}{}
		return true
	}}
	w, e := startPlain(t, u)
	go func() {
		_ = w.sendRaw(e, "POST /act/long HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: id-1\r\nCredential: key-one\r\n"+
			"Deadline-Ms: 60000\r\nContent-Length: 1\r\n\r\nx")
	}()
	select {
	case <-stopped:
	case <-time.After(waitLimit):
		t.Fatal("the request to the upstream was not cancelled")
	}
}

// An engine sends comments without end and no event. The entry cuts the stream off after a bounded number of bytes and
// goes on serving other requests.
func TestEndlessStreamsWithoutEventsAreCutOff(t *testing.T) {
	var sent atomic.Int64
	flood := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/once/flood") {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		chunk := []byte(strings.Repeat(": nothing yet\n\n", 1000))
		for {
			n, err := w.Write(chunk)
			sent.Add(int64(n))
			if err != nil {
				return true
			}
		}
	}
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 2, Intercept: flood})
	begun := time.Now()
	got := w.do(w.entries[0], http.MethodPost, "/once/flood", "id-1", "x", "Token-Counts", "10,10")
	w.c.Check(got.err, qt.IsNotNil, qt.Commentf("it does not look complete"))
	w.c.Check(time.Since(begun) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
	w.eventually(func() bool { before := sent.Load(); time.Sleep(50 * time.Millisecond); return sent.Load() == before })
	w.c.Check(sent.Load() < 16<<20, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
	w.c.Check(w.do(w.entries[0], http.MethodPost, "/once/x", "id-2", "x", "Token-Counts", "10,10").status, qt.Equals,
		http.StatusOK)
}

// A stream with slow events is passed on to its end; one that only sends comments after its first event is ended at the
// request's deadline.
func TestSlowStreamsFinishAndStalledOnesTimeOut(t *testing.T) {
	stall := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/once/stalled") {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		cloud.WriteEvents(w, 1, 1)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ":\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		return true
	}
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Gap: 500 * time.Millisecond, Intercept: stall})
	slow := w.do(w.entries[0], http.MethodPost, "/once/slow", "id-1", "x", "Token-Counts", "10,10")
	w.c.Check(slow.err, qt.IsNil)
	w.c.Check(slow.body, qt.Contains, "token 4")
	begun := time.Now()
	stalled := w.do(w.entries[0], http.MethodPost, "/once/stalled", "id-2", "x", "Token-Counts", "10,10", "Deadline-Ms",
		"800")
	w.c.Check(stalled.err, qt.IsNotNil)
	took := time.Since(begun)
	w.c.Check(took > 700*time.Millisecond && took < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

func TestRequestsWithTooManyPiecesAreRejected(t *testing.T) {
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 2})
	for _, pieces := range []string{"2000000000,1", "9999,9999"} {
		got := w.do(w.entries[0], http.MethodPost, "/gen/x", "id-1", "x", "Token-Counts", "10,10", "Pieces", pieces,
			"Piece-Key", "k")
		w.c.Check(got.status, qt.Equals, http.StatusBadRequest, qt.Commentf(pieces))
	}
	w.c.Check(w.generate(w.entries[0], "id-2").status, qt.Equals, http.StatusOK)
}

// A stage upstream that sends an endless answer fails its call; the pieces run at another upstream.
func TestEndlessStageAnswersFailTheirCall(t *testing.T) {
	var sent atomic.Int64
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 2})
	w.startUpstream("first", &cloud.Upstream{ID: "a-first",
		Intercept: func(w http.ResponseWriter, r *http.Request, _ int) bool {
			if r.URL.Path != "/ragworthatch/stage-run" {
				return false
			}
			chunk := []byte(strings.Repeat(`{"items":[`, 1000))
			for {
				n, err := w.Write(chunk)
				sent.Add(int64(n))
				if err != nil {
					return true
				}
			}
		}})
	w.eventually(func() bool {
		w.c.Check(w.generate(w.entries[0], "id").status, qt.Equals, http.StatusOK)
		return sent.Load() > 0
	})
	w.eventually(func() bool { before := sent.Load(); time.Sleep(50 * time.Millisecond); return sent.Load() == before })
	w.c.Check(sent.Load() < 16<<20, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

// A stage upstream sends each answer twice, the second time at the start of the next call on the same connection. That
// copy must not be taken as the answer of the next call.
func TestDuplicateStageResultsAreDiscarded(t *testing.T) {
	var calls atomic.Int64
	results := func() string {
		n := calls.Add(1)
		body := fmt.Sprintf(`{"items":[{"handle":"copy/%d"},{"handle":"copy/%d"}]}`, 2*n, 2*n+1)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	duplicate := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.URL.Path != "/ragworthatch/stage-run" {
			return false
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer conn.Close()
		last := results()
		_, _ = io.WriteString(conn, last)
		for {
			next, err := http.ReadRequest(buffered.Reader)
			if err != nil {
				return true
			}
			_, _ = io.Copy(io.Discard, next.Body)
			if next.URL.Path != "/ragworthatch/stage-run" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"free_mb\":100}")
				continue
			}
			copied := last
			last = results()
			_, _ = io.WriteString(conn, copied+last)
		}
	}
	w := newTestbed(t)
	w.configure()
	w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 1})
	w.startUpstream("first", &cloud.Upstream{ID: "first-0", Intercept: duplicate})
	second := w.startUpstream("second", &cloud.Upstream{ID: "second-0"})
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusOK)
	for i := range 8 {
		w.generate(e, fmt.Sprintf("id-%d", i))
	}
	requestOf := map[string]string{} // request ID of each result
	for _, a := range second.Arrivals() {
		var body struct {
			Items []struct {
				ID     string
				Inputs []string
			}
		}
		if a.Target != "/ragworthatch/stage-run" {
			continue
		}
		w.c.Assert(json.Unmarshal([]byte(a.Body), &body), qt.IsNil)
		for _, it := range body.Items {
			for _, handle := range it.Inputs {
				w.c.Check(requestOf[handle] == "" || requestOf[handle] == it.ID, qt.IsTrue,
					qt.Commentf("%s of %s and of %s", handle, requestOf[handle], it.ID))
				requestOf[handle] = it.ID
			}
		}
	}
	w.c.Check(len(requestOf) > 2, qt.IsTrue, qt.Commentf("%d results were read", len(requestOf)))
}
