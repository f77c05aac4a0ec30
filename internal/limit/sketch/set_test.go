package sketch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/sketch"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func TestEstimate(t *testing.T) {
	c := qt.New(t)
	s := sketch.New(30 * time.Second)
	k := sketch.Key{Stage: "s", SizeClass: pipe.Short}
	for i := range 19 {
		s.Add(k, time.Duration(i+1)*time.Millisecond, start)
	}
	_, ok := s.Estimate(k, start)
	c.Check(ok, qt.IsFalse, qt.Commentf("too few samples"))
	for i := range 981 {
		s.Add(k, time.Duration(i+20)*time.Millisecond, start)
	}
	e, ok := s.Estimate(k, start.Add(time.Second))
	c.Check(ok, qt.IsTrue)
	for _, x := range []struct{ got, want time.Duration }{
		{e.Median, 500 * time.Millisecond}, {e.P95, 950 * time.Millisecond}, {e.P99, 990 * time.Millisecond},
	} {
		off := math.Abs(float64(x.got-x.want)) / float64(x.want)
		c.Check(off < 0.07, qt.IsTrue, qt.Commentf("%v for %v", x.got, x.want))
	}
	other := k
	other.SizeClass = pipe.Long
	_, ok = s.Estimate(other, start)
	c.Check(ok, qt.IsFalse)
}

func TestOldLatenciesAreForgotten(t *testing.T) {
	s := sketch.New(30 * time.Second)
	k := sketch.Key{Stage: "s"}
	now := start
	for i := range 90 {
		now = start.Add(time.Duration(i) * time.Second)
		latency := time.Second
		if i > 20 {
			latency = 10 * time.Millisecond
		}
		s.Add(k, latency, now)
	}
	e, ok := s.Estimate(k, now)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, e.P99 < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", e.P99))
}

func TestSetIsCompact(t *testing.T) {
	s := sketch.New(0)
	for i := range 240 {
		s.Add(sketch.Key{Stage: fmt.Sprint(i)}, time.Second, start)
	}
	qt.Check(t, s.Bytes() < 2<<20, qt.IsTrue, qt.Commentf("%d bytes for 20 pipelines of 6 stages in 2 size classes", s.Bytes()))
}
