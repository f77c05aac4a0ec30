package node_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// A stream breaks off after two events, and the engine that is to go on gives another kind of answer.
func TestABegunStreamShowsNoErrorOfTheNextEngine(t *testing.T) {
	const text = "something went wrong here"
	for name, head := range map[string]http.Header{
		"error":        {"Status": {"500"}, "Content-Type": {"text/plain"}},
		"refusal":      {"Status": {"503"}, "Not-Run": {"1"}, "Content-Type": {"text/plain"}},
		"lost inputs":  {"Status": {"409"}, "Not-Run": {"1"}, "Content-Type": {"text/plain"}},
		"bad request":  {"Status": {"400"}, "Content-Type": {"text/plain"}},
		"other 2xx":    {"Status": {"202"}, "Content-Type": {"text/plain"}},
		"plain answer": {"Status": {"200"}, "Content-Type": {"text/plain"}},
		"no type":      {"Status": {"200"}, "Content-Type": {""}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			act := func(w http.ResponseWriter, r *http.Request, _ int) bool {
				if r.Header.Get("Request-Id") != "id-1" {
					return false
				}
				if r.Header.Get("Last-Event-Id") == "" {
					w.Header().Set("Response-Stamp", "first stamp")
					cloud.WriteEvents(w, 1, 2)
					panic(http.ErrAbortHandler)
				}
				for name, values := range head {
					w.Header()[name] = values
				}
				status, _ := strconv.Atoi(head.Get("Status"))
				w.WriteHeader(status)
				_, _ = w.Write([]byte(text + "\n\n"))
				return true
			}
			w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: act},
				&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: act})
			got := w.generate(w.entries[0], "id-1")
			w.c.Check(got.err, qt.IsNotNil, qt.Commentf("it must not look complete"))
			w.c.Check(strings.Count(got.body, "id: "), qt.Equals, 2)
			w.c.Check(got.body, qt.Not(qt.Contains), "wrong")
		})
	}
}

// Results that a stream has read take up memory that other requests need, also if the stream may be resumed.
func TestResultsAreReleasedWhenAResumableStreamBegins(t *testing.T) {
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 5, Gap: 300 * time.Millisecond})
	time.Sleep(500 * time.Millisecond) // until the results of earlier requests are released
	begun := time.Now()
	got := w.generate(w.entries[0], "id-1")
	w.c.Assert(got.err, qt.IsNil)
	ended := time.Now()
	released := 0
	for _, id := range []string{"second-0", "second-1"} {
		for _, a := range w.upstreams[id].Arrivals() {
			if a.Target == "/ragworthatch/stage-free" && a.At.After(begun) && a.At.Before(ended.Add(-500*time.Millisecond)) {
				released++
			}
		}
	}
	w.c.Check(released > 0, qt.IsTrue)
}

// The results that a stream had read are gone when it breaks off, so the engine that goes on is given new ones.
func TestAStreamThatGoesOnReadsNewResults(t *testing.T) {
	broken := func(w http.ResponseWriter, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id") != "id-1" || r.Header.Get("Last-Event-Id") != "" {
			return false
		}
		cloud.WriteEvents(w, 1, 2)
		panic(http.ErrAbortHandler)
	}
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 4, Intercept: broken},
		&cloud.Upstream{ID: "engine-2", Events: 4, Intercept: broken})
	got := w.generate(w.entries[0], "id-1")
	w.c.Assert(got.err, qt.IsNil)
	var inputs []string
	for _, id := range []string{"engine-1", "engine-2"} {
		for _, a := range w.upstreams[id].Arrivals() {
			if a.Header.Get("Request-Id") == "id-1" {
				inputs = append(inputs, a.Header.Get("Inputs"))
			}
		}
	}
	w.c.Assert(inputs, qt.HasLen, 2)
	w.c.Check(inputs[0], qt.Not(qt.Equals), inputs[1])
}
