package fair_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/fair"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

const capacity = 100.0 // units per second

func newPolicy() *fair.Policy { return fair.New(rand.New(rand.NewPCG(1, 1))) }

// TestLessUrgentWorkGetsWhatIsLeft guards against forecasts of less urgent work that ignore what more urgent work takes.
func TestLessUrgentWorkGetsWhatIsLeft(t *testing.T) {
	p, now := newPolicy(), start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.Admit("pool", 1, 0.6, now)
	}
	qt.Check(t, p.Left("pool", 1, capacity, now), qt.Equals, 1.0)
	left := p.Left("pool", 2, capacity, now)
	qt.Check(t, left > 0.35 && left < 0.45, qt.IsTrue, qt.Commentf("%v", left))
	qt.Check(t, p.Left("other", 2, capacity, now), qt.Equals, 1.0)
	qt.Check(t, p.Left("pool", 2, capacity, now.Add(10*time.Second)) > 0.99, qt.IsTrue, qt.Commentf("old demand is forgotten"))
}

// TestFloorsOfKeysAreEqual guards against a key that asks for more taking the floor of others.
func TestFloorsOfKeysAreEqual(t *testing.T) {
	p, now := newPolicy(), start
	got := map[string]int{}
	for i := range 60_000 {
		now = now.Add(time.Millisecond)
		if p.Spend("pool", fair.Key{Route: "chat", Team: "hot"}, 1, capacity, now) {
			got["hot"]++
		}
		if i%400 == 0 && p.Spend("pool", fair.Key{Route: "chat", Team: "other"}, 1, capacity, now) {
			got["other"]++
		}
	}
	qt.Check(t, got["hot"] > 50 && got["hot"] < 70, qt.IsTrue, qt.Commentf("%v", got))
	qt.Check(t, got["other"] > 45, qt.IsTrue, qt.Commentf("%v", got))
}

// TestRefusedCallersComeBackSpread guards against refused callers that come back all at once, and against urgent ones that
// come back later than others.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	p := newPolicy()
	const earliest, latest = time.Second, 3 * time.Second
	bySecond := map[int]int{}
	var urgent, other time.Duration
	for i := range 200 {
		after := p.RetryAfter("pool", 0, 1, capacity, earliest, latest, start)
		bySecond[int(after/(500*time.Millisecond))]++
		qt.Assert(t, after >= earliest && after <= latest, qt.IsTrue)
		if i < 20 { // later ones find no free slot
			urgent += after
			other += p.RetryAfter("pool", 1, 1, capacity, earliest, latest, start)
		}
	}
	for half := 2; half < 6; half++ {
		qt.Check(t, bySecond[half] > 20, qt.IsTrue, qt.Commentf("%v", bySecond))
	}
	qt.Check(t, urgent < other, qt.IsTrue, qt.Commentf("%v %v", urgent, other))
}
