package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/guard"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

var now = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// newGuard returns a guard with the given marks that is ready and admits all other requests.
func newGuard(marks *poison.Set) *guard.Guard {
	allow := func(task.Request, time.Time) *fault.Error { return nil }
	return guard.New(guard.Options{
		Ready: func() *fault.Error { return nil },
		Marks: func() *poison.Set { return marks },
		Limit: allow,
		Admit: allow,
		Now:   func() time.Time { return now },
		Log:   zap.NewNop(),
	})
}

// TestDrainWaits checks that a drain refuses new requests at once and completes when no request is in flight.
func TestDrainWaits(t *testing.T) {
	c := qt.New(t)
	g := newGuard(poison.New(poison.Options{}))
	c.Assert(g.Begin() == nil, qt.IsTrue)
	c.Assert(g.Begin() == nil, qt.IsTrue)
	drained := g.Drain()
	refused := g.Begin()
	c.Assert(refused, qt.IsNotNil)
	c.Check(refused.Verdict, qt.Equals, fault.NotRun)
	c.Check(refused.Code, qt.Equals, fault.Draining)
	c.Check(g.Ready(), qt.IsNotNil)
	g.End()
	c.Check(isClosed(drained), qt.IsFalse)
	g.End()
	c.Check(isClosed(drained), qt.IsTrue)
	c.Check(isClosed(g.Drain()), qt.IsTrue)
}

func TestDrainOfIdle(t *testing.T) {
	c := qt.New(t)
	g := newGuard(poison.New(poison.Options{}))
	c.Check(isClosed(g.Drain()), qt.IsTrue)
}

// TestInFlightLimit checks that requests above the limit are refused with a Retry-After time.
func TestInFlightLimit(t *testing.T) {
	c := qt.New(t)
	g := newGuard(poison.New(poison.Options{}))
	n := 0
	var refused *fault.Error
	for ; refused == nil; n++ {
		refused = g.Begin()
	}
	c.Check(n, qt.Equals, 4097)
	c.Check(refused.Code, qt.Equals, fault.Overloaded)
	c.Check(refused.RetryAfter > 0, qt.IsTrue)
}

// TestQuarantine checks that a suspect runs alone and that a fingerprint in quarantine is refused.
func TestQuarantine(t *testing.T) {
	c := qt.New(t)
	marks := poison.New(poison.Options{}).WithCrash(now, poison.Crash{ID: "a/1", InFlight: 2}, "fp")
	r, err := newGuard(marks).Admit(task.Request{Fingerprint: "fp"})
	c.Assert(err == nil, qt.IsTrue)
	c.Check(r.Alone, qt.IsTrue)

	marks = marks.WithCrash(now, poison.Crash{ID: "b/1", InFlight: 1}, "fp")
	_, err = newGuard(marks).Admit(task.Request{Fingerprint: "fp"})
	c.Assert(err, qt.IsNotNil)
	c.Check(err.Code, qt.Equals, fault.Quarantined)
	c.Check(err.Verdict, qt.Equals, fault.NotRun)

	r, err = newGuard(marks).Admit(task.Request{Fingerprint: "other"})
	c.Assert(err == nil, qt.IsTrue)
	c.Check(r.Alone, qt.IsFalse)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
