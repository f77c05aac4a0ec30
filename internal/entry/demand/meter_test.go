package demand_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/entry/demand"
)

// TestSteadyDemand checks the estimate for 4 entries when one of them serves 5 requests per second.
func TestSteadyDemand(t *testing.T) {
	c := qt.New(t)
	m := demand.New()
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	for range 10 * 60 * 5 {
		now = now.Add(200 * time.Millisecond)
		m.Count("summary", "atlas", 50*time.Millisecond, now)
	}
	got := m.Demands(4, now)
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Model, qt.Equals, "atlas")
	c.Check(math.Abs(got[0].PerSecond-20) < 1, qt.IsTrue, qt.Commentf("%v", got[0].PerSecond))
	c.Check(math.Abs(got[0].Seconds-0.05) < 0.001, qt.IsTrue, qt.Commentf("%v", got[0].Seconds))
}

// TestOldDemandExpires checks that a pipeline without requests for 10 minutes has no demand.
func TestOldDemandExpires(t *testing.T) {
	c := qt.New(t)
	m := demand.New()
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	m.Count("summary", "atlas", time.Second, now)
	c.Check(m.Demands(1, now.Add(time.Minute)), qt.HasLen, 1)
	c.Check(m.Demands(1, now.Add(10*time.Minute)), qt.HasLen, 0)
}
