package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// oldAndNew returns engines of two versions, each with four events.
func oldAndNew(old, next int, act func(http.ResponseWriter, *http.Request, int) bool) []*cloud.Upstream {
	var out []*cloud.Upstream
	for version, n := range map[string]int{"v1": old, "v2": next} {
		for i := range n {
			out = append(out, &cloud.Upstream{ID: fmt.Sprintf("%s-%d", version, i), Version: version, Events: 4,
				Gap: 50 * time.Millisecond, Intercept: act})
		}
	}
	return out
}

// versionsOf returns the versions of the engines that ran a request, sorted, once for each engine.
func (w *testbed) versionsOf(id string) []string {
	var out []string
	for _, u := range w.upstreams {
		for _, a := range u.Arrivals() {
			if u.Version != "" && a.Header.Get("Request-Id") == id {
				out = append(out, u.Version)
			}
		}
	}
	slices.Sort(out)
	return out
}

// beginStream sends a request and leaves after two events of its stream. It returns the version that began it.
func (w *testbed) beginStream(e *entry, id string) string {
	w.c.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+"/gen/x", strings.NewReader("prompt"))
	w.c.Assert(err, qt.IsNil)
	r.Host = "svc.example"
	for name, value := range map[string]string{"Request-Id": id, "Credential": "key-one", "Deadline-Ms": "3000",
		"Model": "m", "Token-Counts": "100,10", "Prompt-Prefix": "a:50,b:50", "Pieces": "2,1", "Piece-Key": "piece-key"} {
		r.Header.Set(name, value)
	}
	got, err := http.DefaultClient.Do(r)
	w.c.Assert(err, qt.IsNil)
	defer got.Body.Close()
	w.c.Assert(got.StatusCode, qt.Equals, http.StatusOK)
	var text strings.Builder
	for buffer := make([]byte, 256); !strings.Contains(text.String(), "token 2\n\n"); {
		n, err := got.Body.Read(buffer)
		text.Write(buffer[:n])
		if err == io.EOF {
			break
		}
		w.c.Assert(err, qt.IsNil)
	}
	versions := w.versionsOf(id)
	w.c.Assert(versions, qt.HasLen, 1)
	return versions[0]
}

// takeUp takes up a stream after its second event.
func (w *testbed) takeUp(e *entry, id, first string) answer {
	return w.generate(e, id, "Resumes", first, "Last-Event-Id", "2")
}

// checkGoesOn takes up a stream, and checks that it goes on at the version that began it.
func (w *testbed) checkGoesOn(e *entry, first, began string) {
	w.c.Helper()
	again := "again-" + first
	w.c.Check(w.takeUp(e, again, first).status, qt.Equals, http.StatusOK)
	w.c.Check(w.versionsOf(again), qt.DeepEquals, []string{began})
}

const streams = 8

// Each stream breaks off after two events, and another engine goes on with it in the same answer.
func TestAStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	w := startStaged(t, 1, oldAndNew(3, 3, func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.Header.Get("Request-Id"), "id-") || r.Header.Get("Last-Event-Id") != "" {
			return false
		}
		cloud.WriteEvents(w, 1, 2)
		panic(http.ErrAbortHandler)
	})...)
	for i := range streams {
		id := fmt.Sprint("id-", i)
		got := w.generate(w.entries[0], id)
		w.c.Check(got.err, qt.IsNil)
		w.c.Check(strings.Count(got.body, "id: "), qt.Equals, 4)
		versions := w.versionsOf(id)
		w.c.Assert(versions, qt.HasLen, 2)
		w.c.Check(versions[0], qt.Equals, versions[1], qt.Commentf("stream %s", id))
	}
}

// Callers take streams up at another entry than the one that passed their first events on.
func TestATakenUpStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	w := startStaged(t, 2, oldAndNew(2, 4, nil)...)
	for i := range streams {
		first := fmt.Sprint("first-", i)
		w.checkGoesOn(w.entries[(i+1)%2], first, w.beginStream(w.entries[i%2], first))
	}
}

// All entries are lost while two versions serve, and others take their place.
func TestAStreamGoesOnOnlyAtTheVersionThatBeganItAfterAllEntriesWereLost(t *testing.T) {
	w := startStaged(t, 2, oldAndNew(2, 4, nil)...)
	began := map[string]string{}
	for i := range streams {
		first := fmt.Sprint("first-", i)
		began[first] = w.beginStream(w.entries[i%2], first)
	}
	for _, e := range w.entries {
		e.kill()
	}
	e := w.startEntry("entry-9")
	w.waitReady(e, http.StatusOK)
	for first, version := range began {
		w.checkGoesOn(e, first, version)
	}
}

// The last engines of the old version leave, and all entries are lost right after that.
func TestAStreamWhoseVersionHasLeftIsRefusedAfterAllEntriesWereLost(t *testing.T) {
	w := startStaged(t, 1, oldAndNew(2, 0, nil)...)
	for i := range streams {
		w.c.Check(w.beginStream(w.entries[0], fmt.Sprint("old-", i)), qt.Equals, "v1")
	}
	w.startUpstream("engines", &cloud.Upstream{ID: "v2-0", Version: "v2", Events: 4})
	w.listUpstream("v1-0", "engines", "draining")
	w.store.Put("keyed.servers", "v1-1", nil)
	time.Sleep(time.Second)
	w.c.Check(w.beginStream(w.entries[0], "new"), qt.Equals, "v2")
	w.store.Put("keyed.servers", "v1-0", nil)
	w.entries[0].kill()
	e := w.startEntry("entry-9")
	w.waitReady(e, http.StatusOK)
	w.c.Check(w.takeUp(e, "again", "new").status, qt.Equals, http.StatusOK)
	for i := range streams {
		got := w.takeUp(e, fmt.Sprint("again-", i), fmt.Sprint("old-", i))
		w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		w.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		w.c.Check(w.versionsOf(fmt.Sprint("again-", i)), qt.HasLen, 0)
	}
}

// The leader can't reach the store, and the entry that began the streams is lost.
func TestAStreamIsTakenUpWhileTheLeaderIsCutFromTheStore(t *testing.T) {
	w := startStaged(t, 1, oldAndNew(2, 4, nil)...)
	whole := w.storeURL
	var cut atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	}))
	defer server.Close()
	w.storeURL = server.Listener.Addr().String()
	w.startEntry("entry-1")
	w.waitReady(w.entries[1], http.StatusOK)
	w.storeURL = whole
	time.Sleep(500 * time.Millisecond) // the oldest process leads
	e := w.startEntry("entry-2")
	w.waitReady(e, http.StatusOK)
	began := map[string]string{}
	for i := range streams {
		first := fmt.Sprint("first-", i)
		began[first] = w.beginStream(w.entries[0], first)
	}
	w.entries[0].kill()
	cut.Store(true)
	time.Sleep(2 * time.Second)
	for first, version := range began {
		w.checkGoesOn(e, first, version)
	}
}

// The store is silent and the leader is lost. What the entries that are left have passed on goes on; nobody knows where
// the streams of the lost entry began.
func TestStreamsAreTakenUpWhileTheStoreIsSilent(t *testing.T) {
	w := startStaged(t, 3, oldAndNew(2, 4, nil)...)
	began := map[string]string{}
	for i := range streams {
		first := fmt.Sprint("first-", i)
		began[first] = w.beginStream(w.entries[1+i%2], first)
	}
	lost := w.beginStream(w.entries[0], "lost")
	w.c.Assert(lost, qt.Not(qt.Equals), "")
	w.store.SetStatus(http.StatusServiceUnavailable)
	w.entries[0].kill() // the leader, as it is the oldest entry
	time.Sleep(2 * time.Second)
	for first, version := range began {
		i, _ := strconv.Atoi(strings.TrimPrefix(first, "first-"))
		w.checkGoesOn(w.entries[1+(i+1)%2], first, version)
	}
	asked := time.Now()
	got := w.takeUp(w.entries[1], "again-lost", "lost")
	w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	w.c.Check(w.versionsOf("again-lost"), qt.HasLen, 0)
	w.c.Check(time.Since(asked) < 2*time.Second, qt.IsTrue)
}

// An entry leads itself and is cut off from the store while the first engines of a new version join. Streams that begin
// there at other entries break, and are taken up at this one, whose list names the old version only.
func TestAStreamIsNotTakenUpByAListOfBefore(t *testing.T) {
	w := startStaged(t, 1, oldAndNew(2, 0, nil)...)
	var cut atomic.Bool
	alone := w.store.View(func(topic, _ string, value []byte) []byte {
		if topic == "keyed.members" {
			return nil
		}
		return value
	})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		alone.ServeHTTP(rw, r)
	}))
	defer server.Close()
	w.storeURL = server.Listener.Addr().String()
	e := w.startEntry("entry-9")
	w.waitReady(e, http.StatusOK)
	time.Sleep(17 * time.Second) // until the entry would know of other versions whose streams may be taken up
	w.c.Assert(w.generate(e, "alone").status, qt.Equals, http.StatusOK)
	cut.Store(true)
	w.startUpstream("engines", &cloud.Upstream{ID: "v2-0", Version: "v2", Events: 4, Gap: 50 * time.Millisecond})
	w.startUpstream("engines", &cloud.Upstream{ID: "v2-1", Version: "v2", Events: 4, Gap: 50 * time.Millisecond})
	for i := range 2 {
		w.listUpstream(fmt.Sprint("v1-", i), "engines", "draining")
	}
	w.eventually(func() bool { return w.beginStream(w.entries[0], fmt.Sprint("probe-", time.Now().UnixNano())) == "v2" })
	went, refused := 0, 0
	for i := range streams {
		first, again := fmt.Sprint("first-", i), fmt.Sprint("again-", i)
		w.c.Assert(w.beginStream(w.entries[0], first), qt.Equals, "v2")
		asked := time.Now()
		got := w.takeUp(e, again, first)
		w.c.Check(time.Since(asked) < 2*time.Second, qt.IsTrue)
		versions := w.versionsOf(again)
		if len(versions) > 0 {
			went++
			w.c.Check(versions, qt.DeepEquals, []string{"v2"}, qt.Commentf("%s: %d", again, got.status))
			continue
		}
		refused++
		w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	}
	t.Logf("%d went on, %d were refused", went, refused)
	w.c.Check(refused > 0, qt.IsTrue)
}

// An entry that has read the records as a follower takes the lead, the store comes back from an older copy, and the entry is
// lost. All its streams were refused for the whole retention (review/10).
func TestStreamsGoOnAfterTheLeaderChangedAndTheStoreWasRestored(t *testing.T) {
	w := startStaged(t, 3, oldAndNew(2, 4, nil)...)
	time.Sleep(2 * time.Second)
	w.entries[0].kill() // the leader, as it is the oldest entry
	time.Sleep(3 * time.Second)
	copied := w.store.Copy()
	began := map[string]string{}
	for i := range streams {
		first := fmt.Sprint("first-", i)
		began[first] = w.beginStream(w.entries[1], first)
	}
	w.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(time.Second)
	w.store.Restore(copied)
	w.configure()
	for id := range w.upstreams {
		w.listUpstream(id, w.pools[id], "ready")
	}
	w.store.SetStatus(0)
	time.Sleep(3 * time.Second)
	w.entries[1].kill()
	time.Sleep(time.Second)
	for first, version := range began {
		w.checkGoesOn(w.entries[2], first, version)
	}
}
