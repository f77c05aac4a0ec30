package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const runPath = "/ragworthatch/stage-run"

// startSlowSecond starts entries whose second stage takes much longer than the first, and so many requests through the
// last entry that some wait for their second stage when it returns. The function it returns collects the answers.
func startSlowSecond(t *testing.T, entries int) (*testbed, func() []answer) {
	w := newTestbed(t)
	w.configure()
	w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 2})
	for i := range 2 {
		w.startUpstream("first", &cloud.Upstream{ID: fmt.Sprintf("first-%d", i), Work: 20 * time.Millisecond})
		w.startUpstream("second", &cloud.Upstream{ID: fmt.Sprintf("second-%d", i), Work: 500 * time.Millisecond})
	}
	for i := range entries {
		w.startEntry(fmt.Sprintf("entry-%d", i))
	}
	last := w.entries[entries-1]
	for _, e := range w.entries {
		w.waitReady(e, http.StatusOK)
	}
	w.eventually(func() bool { return w.generate(last, "warm").status == http.StatusOK })
	const requests = 8
	answers := make(chan answer, requests)
	for i := range requests {
		go func() { answers <- w.generate(last, fmt.Sprintf("id-%d", i), "Deadline-Ms", "6000") }()
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	return w, func() []answer {
		var got []answer
		for range requests {
			got = append(got, <-answers)
		}
		return got
	}
}

// restartFirst starts both upstreams of the first stage anew under their IDs, and waits until the entries know it.
func (w *testbed) restartFirst() {
	for i := range 2 {
		w.listLifetime(fmt.Sprintf("first-%d", i), "first", "ready", 2)
	}
	time.Sleep(600 * time.Millisecond)
}

// called returns the bodies of the calls that reached the upstreams of a stage.
func (w *testbed) called(pool string) []string {
	var out []string
	for i := range 2 {
		for _, a := range w.upstreams[fmt.Sprintf("%s-%d", pool, i)].Arrivals() {
			if a.Target == runPath {
				out = append(out, a.Body)
			}
		}
	}
	return out
}

// A stage is never given an input without a handle: orders that move to the next leader after the upstream that holds
// their results has restarted under its ID run their first stage again (review/1).
func TestMovedOrdersNameNoResultsOfAnEndedLifetime(t *testing.T) {
	w, answers := startSlowSecond(t, 2)
	firsts := len(w.called("first"))
	w.restartFirst()
	w.entries[0].stop() // the leader, as it is the oldest entry
	for _, a := range answers() {
		w.c.Check(a.status, qt.Equals, http.StatusOK)
	}
	w.c.Check(len(w.called("first")) > firsts, qt.IsTrue, qt.Commentf("the test needs results that were lost"))
	for _, body := range w.called("second") {
		w.c.Check(strings.Contains(body, `""`), qt.IsFalse, qt.Commentf("%s", body))
	}
}
