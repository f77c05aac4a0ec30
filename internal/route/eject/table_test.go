package eject_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/route/eject"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func TestEjectionEndsAndDoubles(t *testing.T) {
	c := qt.New(t)
	table := eject.New(eject.Options{BaseTime: time.Second, MaxTime: 3 * time.Second})
	fail := func(now time.Time) (time.Time, bool) { return table.Failed("a", 4, now) }
	for range 2 {
		_, ejected := fail(start)
		c.Check(ejected, qt.IsFalse)
	}
	until, ejected := fail(start)
	c.Check(ejected, qt.IsTrue)
	c.Check(until, qt.Equals, start.Add(time.Second))
	_, ejected = fail(start)
	c.Check(ejected, qt.IsFalse, qt.Commentf("late failures of earlier calls do not lengthen the ejection"))
	until, ejected = fail(until)
	c.Check(ejected, qt.IsTrue, qt.Commentf("after an ejection a single failure ejects again"))
	c.Check(until, qt.Equals, start.Add(3*time.Second))
	next, _ := fail(until)
	c.Check(next.Sub(until), qt.Equals, 3*time.Second, qt.Commentf("the longest ejection"))
	table.Succeeded("a")
	_, ejected = fail(next)
	c.Check(ejected, qt.IsFalse)
}

func TestEjectionKeepsItsCap(t *testing.T) {
	table := eject.New(eject.Options{})
	for i := range 12 {
		for range 5 {
			table.Failed(fmt.Sprint(i), 12, start)
		}
	}
	qt.Check(t, table.EjectedCount(start), qt.Equals, 6)
	qt.Check(t, table.EjectedCount(start.Add(time.Minute)), qt.Equals, 0)
	_, ejected := eject.New(eject.Options{Consecutive: 1}).Failed("only", 1, start)
	qt.Check(t, ejected, qt.IsFalse, qt.Commentf("the last upstream stays"))
}

func TestRefusalsAreNoUpstreamFailures(t *testing.T) {
	for code, want := range map[fault.Code]bool{
		fault.Overloaded: false, fault.Draining: false, fault.TooLate: false, fault.Deadline: false, fault.Canceled: false,
		fault.Silent: true, fault.Transport: true, fault.Crashed: true, fault.Upstream: true,
	} {
		qt.Check(t, eject.IsUpstreamFailure(fault.New(fault.MayHaveRun, code, "test")), qt.Equals, want,
			qt.Commentf("%s", code))
	}
}
