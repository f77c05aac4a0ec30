package speed_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/route/speed"
)

const usual = 360 * time.Millisecond // a full call

var start = time.Unix(1000, 0)

func near(c *qt.C, got, want time.Duration) {
	c.Helper()
	c.Check(got > want-usual/20 && got < want+usual/20, qt.IsTrue, qt.Commentf("%v, want about %v", got, want))
}

// A sample that counted for as long as a call takes would steer calls by a state that is gone.
func TestSamplesFadeToTheUsual(t *testing.T) {
	c := qt.New(t)
	e := speed.New().WithLoad(call.Load{Running: 1, Slots: 1, TimePercent: 250}, start)
	near(c, e.Duration(usual, start), 566*time.Millisecond)
	near(c, e.Duration(usual, start.Add(150*time.Millisecond)), 436*time.Millisecond)
	near(c, e.Duration(usual, start.Add(600*time.Millisecond)), usual)
	near(c, e.WithLoad(call.Load{TimePercent: 70, Slots: 1}, start.Add(-time.Millisecond)).Duration(usual, start),
		566*time.Millisecond) // an older sample that arrives late
	near(c, e.WithLoad(call.Load{Slots: 1}, start).Duration(usual, start), usual) // without the fourth figure
}

func TestWaitingRequestsCountBeyondTheSlots(t *testing.T) {
	c := qt.New(t)
	near(c, speed.New().WithLoad(call.Load{Running: 1, Slots: 1}, start).Duration(usual, start), usual)
	near(c, speed.New().WithLoad(call.Load{Running: 1, Waiting: 1, Slots: 1}, start).Duration(usual, start), 2*usual)
	near(c, speed.New().WithLoad(call.Load{Running: 2, Waiting: 1, Slots: 2}, start).Duration(usual, start), usual*3/2)
	c.Check(speed.New().WithLoad(call.Load{Running: 1e9, Waiting: 1e9}, start).Duration(usual, start) < 5*usual, qt.IsTrue)
}

// Without the correction, a disturbance of one call would mark the upstream as slow for the next 0.7 s.
func TestADisturbanceOfAMomentIsNotSlowness(t *testing.T) {
	c := qt.New(t)
	disturbed := call.Load{Running: 1, Slots: 1, TimePercent: 250}
	e := speed.New().WithLoad(disturbed, start)
	elapsed := usual * 5 / 2
	end := start.Add(elapsed)
	explained := e.WithLoad(disturbed, end).WithCall(elapsed, usual, e.Reference(usual, start), end)
	c.Check(explained.Slowness() < 1.3, qt.IsTrue, qt.Commentf("%v", explained.Slowness()))
	c.Check(speed.New().WithCall(elapsed, usual, usual, end).Slowness() > 1.5, qt.IsTrue)
}

// What an upstream always says is its usual speed, which its calls have taught already.
func TestAConstantFigureIsLearnedAsSlowness(t *testing.T) {
	c := qt.New(t)
	e, at := speed.New(), start
	for range 100 {
		reference := e.Reference(usual, at)
		at = at.Add(usual * 3 / 2)
		e = e.WithLoad(call.Load{Running: 1, Slots: 1, TimePercent: 150}, at).WithCall(usual*3/2, usual, reference, at)
	}
	near(c, e.Duration(usual, at), usual*3/2)
	near(c, e.Duration(usual, at.Add(time.Second)), usual*3/2)
}

// Pools whose upstreams state no load keep the durations of the configuration, whatever was learned.
func TestWithoutAStatedLoadDurationsAreTheUsual(t *testing.T) {
	c := qt.New(t)
	e := speed.New().WithCall(usual*3, usual, usual, start)
	c.Check(e.Duration(usual, start), qt.Equals, usual)
	c.Check(e.Reference(usual, start), qt.Equals, usual)
}

// At least half of a pool is in the first class, so that a herd can't form at the few upstreams that look best.
func TestClassesAndSizesGoByTheMedian(t *testing.T) {
	c := qt.New(t)
	typical := speed.Typical([]time.Duration{900, 300, 900, 900, 1500})
	c.Check(typical, qt.Equals, time.Duration(900))
	c.Check(speed.Class(300, typical), qt.Equals, 0)
	c.Check(speed.Class(1000, typical), qt.Equals, 0)
	c.Check(speed.Class(1500, typical) > speed.Class(1200, typical), qt.IsTrue)
	c.Check(speed.Class(5, speed.Typical(nil)), qt.Equals, 0)
	const fixed, each = 200 * time.Millisecond, 14 * time.Millisecond
	c.Check(speed.Size(12, fixed, each, 1.7), qt.Equals, 12)
	c.Check(speed.Size(12, fixed, each, 2.5), qt.Equals, 3)
	c.Check(speed.Size(12, fixed, each, 4), qt.Equals, 1)
}
