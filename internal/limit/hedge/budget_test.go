package hedge_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/hedge"
)

func TestDelay(t *testing.T) {
	good := hedge.Call{
		Repeatable: true, Quantile: 300 * time.Millisecond, Samples: 500,
		Remaining: time.Second, Estimate: 200 * time.Millisecond,
	}
	for name, change := range map[string]func(*hedge.Call){
		"action":      func(c *hedge.Call) { c.Repeatable = false },
		"resumed":     func(c *hedge.Call) { c.Partial = true },
		"few samples": func(c *hedge.Call) { c.Samples = 10 },
		"too late":    func(c *hedge.Call) { c.Remaining = 400 * time.Millisecond },
	} {
		bad := good
		change(&bad)
		_, ok := hedge.New(0.02).Delay(bad)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%s", name))
	}
	delay, ok := hedge.New(0.02).Delay(good)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, delay, qt.Equals, 300*time.Millisecond)
	_, ok = hedge.New(0).Delay(good)
	qt.Check(t, ok, qt.IsFalse)
}

func TestBudgetBoundsTheCost(t *testing.T) {
	c := qt.New(t)
	b := hedge.New(0.02)
	var first, extra time.Duration
	for range 1000 {
		b.Earn(time.Second)
		first += time.Second
		if b.Take(time.Second) {
			b.Settle(time.Second, 2*time.Second)
			extra += 2 * time.Second
		}
	}
	c.Check(extra > 0, qt.IsTrue)
	c.Check(float64(extra) <= 0.02*float64(first)+2, qt.IsTrue, qt.Commentf("%v extra on %v", extra, first))
}
