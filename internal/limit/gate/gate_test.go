package gate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

func newCall(remaining time.Duration) gate.Call {
	return gate.Call{Team: "a", Remaining: remaining, Estimate: 100 * time.Millisecond}
}

func TestEnterRefusesAtOnceWhatCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := gate.New(gate.Options{Floor: 1, Ceiling: 1})
		permit, err := g.Acquire(t.Context(), newCall(time.Second))
		c.Assert(err, qt.IsNil)
		begin := time.Now()
		_, err = g.Acquire(t.Context(), newCall(50*time.Millisecond))
		c.Check(fault.From(err).Code, qt.Equals, fault.TooLate)
		_, err = g.Acquire(t.Context(), newCall(120*time.Millisecond))
		c.Check(fault.From(err).Code, qt.Equals, fault.Overloaded)
		c.Check(fault.From(err).Verdict, qt.Equals, fault.NotRun)
		c.Check(fault.From(err).RetryAfter > 0, qt.IsTrue)
		c.Check(time.Since(begin), qt.Equals, time.Duration(0))
		permit.Done(gate.Result{})
		permit.Done(gate.Result{})
		c.Check(g.Load().Running, qt.Equals, 0)
	})
}

func TestEnterRefusesAWaitingCallOnceItCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := gate.New(gate.Options{Floor: 1, Ceiling: 1})
		_, err := g.Acquire(t.Context(), newCall(time.Second))
		c.Assert(err, qt.IsNil)
		begin := time.Now()
		_, err = g.Acquire(t.Context(), newCall(400*time.Millisecond))
		c.Check(fault.From(err).Code, qt.Equals, fault.TooLate)
		c.Check(fault.From(err).Verdict, qt.Equals, fault.NotRun)
		c.Check(time.Since(begin).Round(time.Millisecond), qt.Equals, 300*time.Millisecond)
		c.Check(g.Load().Queued, qt.Equals, 0)
	})
}

func TestCanceledCallLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := gate.New(gate.Options{Floor: 1, Ceiling: 1})
		permit, err := g.Acquire(t.Context(), newCall(time.Second))
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := g.Acquire(ctx, newCall(time.Second))
			done <- err
		}()
		synctest.Wait()
		c.Check(g.Load().Queued, qt.Equals, 1)
		cancel()
		err = <-done
		c.Check(fault.From(err).Code, qt.Equals, fault.Canceled)
		c.Check(g.Load().Queued, qt.Equals, 0)
		permit.Done(gate.Result{})
		_, err = g.Acquire(t.Context(), newCall(time.Second))
		c.Check(err, qt.IsNil)
	})
}

func TestExclusiveCallWaitsForAnEmptyUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := gate.New(gate.Options{Floor: 4, Ceiling: 4})
		first, err := g.Acquire(t.Context(), newCall(time.Second))
		c.Assert(err, qt.IsNil)
		permits := make(chan gate.Permit, 2)
		acquire := func(exclusive bool) {
			call := newCall(time.Second)
			call.Exclusive = exclusive
			p, err := g.Acquire(t.Context(), call)
			c.Check(err, qt.IsNil)
			permits <- p
		}
		go acquire(true)
		synctest.Wait()
		go acquire(false)
		synctest.Wait()
		c.Check(g.Load().Running, qt.Equals, 1)
		c.Check(g.Load().Queued, qt.Equals, 2)
		first.Done(gate.Result{})
		synctest.Wait()
		c.Check(g.Load().Running, qt.Equals, 1)
		exclusive := <-permits
		exclusive.Done(gate.Result{})
		synctest.Wait()
		c.Check(g.Load().Running, qt.Equals, 1)
		(<-permits).Done(gate.Result{})
	})
}
