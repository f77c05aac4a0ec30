package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// evacuationWithin is below the default bound of 5 s, as the store of these tests is stable.
const evacuationWithin = 2500 * time.Millisecond

// startZones starts entries, and an upstream of each pool in each zone. The entries are in zone-a and prefer to send
// there.
func startZones(t *testing.T, entries int, zones ...string) *testbed {
	w := newTestbed(t)
	w.configure()
	for _, zone := range zones {
		for pool, events := range map[string]int{"plain": 0, "engines": 3, "first": 0, "second": 0} {
			id := pool + "-" + zone
			w.startUpstream(pool, &cloud.Upstream{ID: id, Events: events})
			w.store.PutServerIn(zone, id, pool, "v1", w.addresses[id], "ready", 4, 1)
		}
	}
	for i := range entries {
		w.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for _, e := range w.entries {
		w.waitReady(e, http.StatusOK)
	}
	time.Sleep(time.Second) // until all entries follow one leader
	return w
}

// sendAll sends a request to each kind of upstream through each entry at the same time, and returns the answers.
func (w *testbed) sendAll(name string, entries ...*entry) []answer {
	out := make([]answer, 2*len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { out[2*i] = w.do(e, http.MethodGet, "/read/x", fmt.Sprintf("read-%s-%d", name, i), "") })
		wg.Go(func() {
			out[2*i+1] = w.do(e, http.MethodPost, "/gen/x", fmt.Sprintf("gen-%s-%d", name, i), "", "Model", "m",
				"Token-Counts", "100,10", "Prompt-Prefix", "sys:50,own:50", "Pieces", "2,1", "Piece-Key", "k")
		})
	}
	wg.Wait()
	return out
}

// sendFor sends requests of all kinds for a time and checks that all are answered with status.
func (w *testbed) sendFor(d time.Duration, status int, entries ...*entry) {
	w.c.Helper()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		for _, got := range w.sendAll(fmt.Sprint(n, end.UnixNano()), entries...) {
			w.c.Assert(got.status, qt.Equals, status, qt.Commentf("%+v", got))
			w.c.Assert(status == http.StatusOK || got.header.Get("Retry-After") != "", qt.IsTrue)
		}
	}
}

// arrivalsIn counts the requests that reached the upstreams of a zone after a time.
func (w *testbed) arrivalsIn(zone string, after time.Time) int {
	n := 0
	for _, pool := range []string{"plain", "engines", "first", "second"} {
		for _, a := range w.upstreams[pool+"-"+zone].Arrivals() {
			if a.At.After(after) {
				n++
			}
		}
	}
	return n
}

// Requests, stage calls, releases and reports leave the zone, callers notice nothing while another zone is left, and are
// refused at once while none is.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
	w := startZones(t, 2, "zone-a", "zone-b")
	w.sendFor(time.Second, http.StatusOK, w.entries...)
	for _, pool := range []string{"plain", "engines", "first", "second"} {
		w.c.Assert(len(w.upstreams[pool+"-zone-a"].Arrivals()) > 0, qt.IsTrue, qt.Commentf("%s", pool))
	}
	w.store.Evacuate("zone-a")
	w.sendFor(evacuationWithin, http.StatusOK, w.entries...)
	left := time.Now()
	w.sendFor(time.Second, http.StatusOK, w.entries...)
	w.c.Check(w.arrivalsIn("zone-a", left), qt.Equals, 0)
	w.c.Check(w.arrivalsIn("zone-b", left) > 0, qt.IsTrue)

	w.store.Evacuate("zone-b")
	time.Sleep(evacuationWithin)
	left = time.Now()
	w.sendFor(time.Second, http.StatusServiceUnavailable, w.entries...)
	w.c.Check(w.arrivalsIn("zone-b", left)+w.arrivalsIn("zone-a", left), qt.Equals, 0)
	for _, got := range w.sendAll("atonce", w.entries...) {
		w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Check(time.Since(left) < 2*time.Second, qt.IsTrue, qt.Commentf("refused at once"))

	w.store.Revoke("zone-a")
	time.Sleep(evacuationWithin)
	w.sendFor(time.Second, http.StatusOK, w.entries...)
	w.c.Check(w.arrivalsIn("zone-a", left) > 0, qt.IsTrue)
	w.c.Check(w.arrivalsIn("zone-b", left), qt.Equals, 0)
}

// The leader, which is the first to know, is killed just after the store has acknowledged the evacuation.
func TestEvacuationsOutliveTheLeader(t *testing.T) {
	w := startZones(t, 3, "zone-a", "zone-b")
	w.sendFor(time.Second, http.StatusOK, w.entries...)
	w.store.Evacuate("zone-a")
	w.entries[0].kill() // the oldest process of equal hosts leads
	time.Sleep(evacuationWithin)
	left := time.Now()
	w.sendFor(time.Second, http.StatusOK, w.entries[1:]...)
	w.c.Check(w.arrivalsIn("zone-a", left), qt.Equals, 0)
}

// All hosts start while a zone is evacuated.
func TestEvacuationsHoldFromTheStart(t *testing.T) {
	w := startZones(t, 0, "zone-a", "zone-b")
	w.store.Evacuate("zone-a")
	for i := range 2 {
		w.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for _, e := range w.entries {
		w.waitReady(e, http.StatusOK)
	}
	w.sendFor(time.Second, http.StatusOK, w.entries...)
	w.c.Check(w.arrivalsIn("zone-a", time.Time{}), qt.Equals, 0)
}
