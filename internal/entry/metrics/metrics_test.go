package metrics_test

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/metrics"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// TestPrometheusOutput checks that the endpoint returns the lines of testdata/metrics.txt.
func TestPrometheusOutput(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "entry", Name: "entry-1", Zone: "a"})
	c.Assert(err, qt.IsNil)
	n := metrics.New(m)
	m.GaugeFunc(meter.Spec{Name: "inFlight", Unit: "{request}", Help: "Requests in flight."},
		func(o meter.Observe) { o(7, meter.Label{Name: "class", Value: "short"}) })
	m.CounterFunc(meter.Spec{Name: "crashes", Unit: "{crash}", Help: "Crashes."}, func(o meter.Observe) { o(2) })

	completed := front.Record{Team: "t1", Pipeline: "summary", Preset: "peak", Verdict: fault.Ran, Took: 40 * time.Millisecond, FirstToken: 7 * time.Millisecond}
	n.Finished(completed)
	n.Finished(completed)
	completed.Late = true
	n.Finished(completed)
	n.Finished(front.Record{Team: "t2", Pipeline: "summary", Preset: "peak", Code: fault.Overloaded, Verdict: fault.NotRun})
	n.CountAttempt(task.Request{},
		exec.Cost{Stage: "generate", Kind: stage.Generate, RunnerMs: 30, Tokens: 5, PrefillTokens: 9, CachedTokens: 4})
	n.CountAttempt(task.Request{},
		exec.Cost{Stage: "generate", Kind: stage.Generate, RunnerMs: 3, Tokens: 1, Retry: true, Wasted: true})
	n.CountAttempt(task.Request{}, exec.Cost{Stage: "encode", RunnerMs: 2, Hedge: true})

	w := httptest.NewRecorder()
	m.Routes()[0].Handler(w, httptest.NewRequest("GET", "/metrics", nil))
	want, err := os.ReadFile("testdata/metrics.txt")
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(want)) {
		line = strings.TrimSpace(line)
		c.Check("\n"+w.Body.String(), qt.Contains, "\n"+line+"\n", qt.Commentf("%s", line))
	}
}
