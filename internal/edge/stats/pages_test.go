package stats_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// TestOperationsPageListsAllMetrics compares the served metrics with the table of docs/OPERATIONS.md.
func TestOperationsPageListsAllMetrics(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	s := stats.New(m, func() stats.Gauges {
		return stats.Gauges{
			Held: []stats.HeldMemory{{Kind: "bodies"}},
			Pools: []stats.PoolUse{{Pool: "pool", Upstreams: map[string]int{"free": 1}, Waiting: map[int]int{0: 1},
				Running: map[int]int{0: 1}}},
			Engines: []stats.EngineUse{{Pool: "pool", Engine: "engine"}},
		}
	})
	s.Finished("route", "served", time.Second)
	s.FirstByte(time.Second)
	s.Sent("pool", false, "answered")
	s.Refused("reason")
	s.StageCall("pool", "answered", 1)
	s.FailedPieces("pool", "reason", 1)
	s.StageOrder("route", "team", 1, "pool", "refused")
	s.Repeat("pool", true)
	s.Ejected("pool")
	s.AnswerBroken("pool", "unbegun")
	s.CrashReport("counted")
	s.LimitNamed("pool")
	s.EngineRefusal("pool", 1)
	s.StreamContinued("pool", true)
	s.OriginLookedUp("memory")
	s.StoreCall("topic", true)
	s.ClientRefused("reason")
	s.TeamFinished("team", 0, "served")
	s.Shed("processor", 0)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))

	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	served := sortedMatches(regexp.MustCompile(`(?m)^# TYPE (ragworthatch\S+)`), w.Body.String())
	listed := sortedMatches(regexp.MustCompile("(?m)^\\| `(ragworthatch\\S+)`"), string(page))
	c.Check(listed, qt.DeepEquals, served)
}

// sortedMatches returns the first groups of all matches, sorted.
func sortedMatches(pattern *regexp.Regexp, text string) []string {
	var out []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return out
}
