package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/admit"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func query(team string) admit.Request {
	return admit.Request{
		Team:      team,
		SizeClass: pipe.Short,
		Remaining: time.Second,
		Stages: []admit.Stage{{Pool: "a", Estimate: 100 * time.Millisecond},
			{Pool: "b", Estimate: 200 * time.Millisecond}},
	}
}

func TestAdmitRefusesWhatCannotFinish(t *testing.T) {
	c := admit.New(rand.New(rand.NewPCG(1, 1)), admit.Options{})
	q := query("a")
	qt.Check(t, c.Admit(q, start), qt.IsNil)
	q.Remaining = 299 * time.Millisecond
	err := fault.From(c.Admit(q, start))
	qt.Check(t, err.Code, qt.Equals, fault.TooLate)
	qt.Check(t, err.Verdict, qt.Equals, fault.NotRun)
}

func TestOverloadIsSharedByWeight(t *testing.T) {
	c := admit.New(rand.New(rand.NewPCG(1, 1)), admit.Options{Low: 100 * time.Millisecond, High: 300 * time.Millisecond})
	sent := map[string]int{}
	admitted := map[string]int{}
	now := start
	offer := func(q admit.Request) {
		sent[q.Team]++
		if c.Admit(q, now) == nil {
			admitted[q.Team]++
		}
	}
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		c.Observe("b", pipe.Short, 200*time.Millisecond, now)
		offer(query("large"))
		if i%10 == 0 {
			offer(query("small"))
		}
	}
	part := func(team string) float64 { return float64(admitted[team]) / float64(sent[team]) }
	qt.Check(t, part("small") > 0.98, qt.IsTrue, qt.Commentf("small %v", part("small")))
	qt.Check(t, part("large") > 0.4 && part("large") < 0.55, qt.IsTrue, qt.Commentf("large %v", part("large")))
	long := query("large")
	long.SizeClass = pipe.Long
	qt.Check(t, c.Admit(long, now), qt.IsNil, qt.Commentf("size classes are kept apart"))
	qt.Check(t, c.Admit(query("large"), now.Add(5*time.Second)), qt.IsNil, qt.Commentf("old waits are forgotten"))
}
