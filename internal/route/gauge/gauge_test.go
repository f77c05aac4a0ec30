package gauge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// load returns the estimated calls per slot.
func load(g *gauge.Gauge, now time.Time) float64 {
	l, _ := g.Estimate(now)
	return l
}

func TestEstimateDecaysCallsOfOtherEntries(t *testing.T) {
	c := qt.New(t)
	var g gauge.Gauge
	_, age := g.Estimate(start)
	c.Check(age < 0, qt.IsTrue, qt.Commentf("no report yet"))
	for range 4 {
		g.Begin()
	}
	g.Observe(gauge.Report{Running: 10, Queued: 2, Limit: 10, At: start})
	c.Check(load(&g, start), qt.Equals, 1.3, qt.Commentf("4 own, 8 of others and the new call, over 10 slots"))
	c.Check(load(&g, start.Add(5*time.Second)), qt.Equals, 0.9, qt.Commentf("others count half"))
	for range 4 {
		g.End(0, 0, start)
	}
	c.Check(load(&g, start), qt.Equals, 0.9, qt.Commentf("own calls are exact"))
}

func TestOldAndRepeatedReportsAreDropped(t *testing.T) {
	c := qt.New(t)
	var g gauge.Gauge
	for range 8 {
		g.Begin()
	}
	r := gauge.Report{Running: 8, Limit: 10, At: start}
	g.Observe(r)
	for range 8 {
		g.End(0, 0, start)
	}
	g.Observe(r)
	c.Check(load(&g, start), qt.Equals, 0.1, qt.Commentf("the calls of the report were the entry's own"))
	g.Observe(gauge.Report{Running: 10, Limit: 10, At: start.Add(-time.Second)})
	c.Check(load(&g, start), qt.Equals, 0.1)
}

func TestSlownessDecays(t *testing.T) {
	c := qt.New(t)
	var g gauge.Gauge
	for range 20 {
		g.Begin()
		g.End(time.Second, 100*time.Millisecond, start)
	}
	c.Check(g.Slowness(start) > 9, qt.IsTrue)
	c.Check(g.Slowness(start.Add(15*time.Second)) < 5.6, qt.IsTrue)
	for range 20 {
		g.Begin()
		g.End(100*time.Millisecond, 100*time.Millisecond, start)
	}
	c.Check(g.Slowness(start) < 1.1, qt.IsTrue)
	c.Check(g.InFlight(), qt.Equals, 0)
}
