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

func request(team string) admit.Request {
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
	r := request("a")
	qt.Check(t, c.Admit(r, start), qt.IsNil)
	r.Remaining = 299 * time.Millisecond
	err := fault.From(c.Admit(r, start))
	qt.Check(t, err.Code, qt.Equals, fault.TooLate)
	qt.Check(t, err.Verdict, qt.Equals, fault.NotRun)
}

func TestOverloadIsSharedByWeight(t *testing.T) {
	c := admit.New(rand.New(rand.NewPCG(1, 1)), admit.Options{Low: 100 * time.Millisecond, High: 300 * time.Millisecond})
	sent := map[string]int{}
	admitted := map[string]int{}
	now := start
	offer := func(r admit.Request) {
		sent[r.Team]++
		if c.Admit(r, now) == nil {
			admitted[r.Team]++
		}
	}
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		c.Observe("b", pipe.Short, 200*time.Millisecond, now)
		offer(request("large"))
		if i%10 == 0 {
			offer(request("small"))
		}
	}
	fraction := func(team string) float64 { return float64(admitted[team]) / float64(sent[team]) }
	qt.Check(t, fraction("small") > 0.98, qt.IsTrue, qt.Commentf("small %v", fraction("small")))
	qt.Check(t, fraction("large") > 0.4 && fraction("large") < 0.55, qt.IsTrue, qt.Commentf("large %v", fraction("large")))
	long := request("large")
	long.SizeClass = pipe.Long
	qt.Check(t, c.Admit(long, now), qt.IsNil, qt.Commentf("size classes are kept apart"))
	qt.Check(t, c.Admit(request("large"), now.Add(5*time.Second)), qt.IsNil, qt.Commentf("old waits are forgotten"))
}
