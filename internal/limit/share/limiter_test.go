package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/share"
)

func TestAllowWithoutPeersKeepsTheEvenShare(t *testing.T) {
	c := qt.New(t)
	l := share.New()
	l.Set(map[string]float64{"a": 40}, 4, start)
	admitted := 0
	for i := range 10_000 {
		if ok, wait := l.Allow("a", start.Add(time.Duration(i)*time.Millisecond)); ok {
			admitted++
		} else {
			c.Assert(wait > 0, qt.IsTrue)
		}
	}
	c.Check(admitted >= 90 && admitted <= 111, qt.IsTrue, qt.Commentf("%d admitted in 10 s at 10 a second", admitted))
	ok, _ := l.Allow("unlimited", start)
	c.Check(ok, qt.IsTrue)
	c.Check(l.Granted("unlimited") < 0, qt.IsTrue)
	now := start.Add(time.Minute)
	c.Check(testing.AllocsPerRun(100, func() { l.Allow("a", now) }), qt.Equals, 0.0)
}

func TestDemandsOfAnotherEpochAreDropped(t *testing.T) {
	c := qt.New(t)
	a, b := share.New(), share.New()
	limits := map[string]float64{"a": 10}
	a.Set(limits, 2, start)
	b.Set(limits, 2, start)
	for i := range 1000 {
		a.Allow("a", start.Add(time.Duration(i)*time.Millisecond))
		b.Allow("a", start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(time.Second)
	demands := a.Offer(now)
	c.Assert(demands, qt.HasLen, 1)
	b.Offer(now)
	c.Check(b.Answer(demands, now), qt.HasLen, 1)
	demands[0].Epoch--
	c.Check(b.Answer(demands, now), qt.HasLen, 0)
	demands[0].Team = "unknown"
	c.Check(b.Answer(demands, now), qt.HasLen, 0)
}
