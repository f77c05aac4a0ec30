package inflight

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

var start = time.Unix(1_000_000, 0)

func attempt(request string) ident.Attempt {
	return ident.Attempt{Request: request, Stage: "s", Number: 1}
}

// begin adds an attempt at start, with a deadline a minute later.
func begin(c *qt.C, t *Table, request string) *Record {
	r, err := t.Begin(attempt(request), start, start.Add(time.Minute), func() {})
	c.Assert(err, qt.IsNil)
	return r
}

// verdictOfCopy returns the verdict for another copy of the call.
func verdictOfCopy(t *Table, request string) fault.Verdict {
	_, err := t.Begin(attempt(request), start, start, func() {})
	return fault.From(err).Verdict
}

func TestVerdictsOfCancelAndCopies(t *testing.T) {
	for _, tc := range []struct {
		name     string
		steps    func(r *Record)
		want     fault.Verdict
		dispatch bool // whether it may be dispatched after the cancel
	}{
		{"queued", func(*Record) {}, fault.NotRun, false},
		{"dispatched", func(r *Record) { r.Dispatch() }, fault.MayHaveRun, false},
		{"finished", func(r *Record) { r.Dispatch(); r.Finish() }, fault.MayHaveRun, false},
		{"refused", func(r *Record) { r.Forbid() }, fault.NotRun, false},
		{"ended in the queue", func(r *Record) { r.Finish() }, fault.NotRun, false},
		{"in doubt", func(r *Record) { r.MarkInDoubt() }, fault.MayHaveRun, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			table := New(10)
			r := begin(c, table, "r")
			tc.steps(r)
			c.Check(table.Cancel(attempt("r"), start, start.Add(time.Minute)), qt.Equals, tc.want)
			c.Check(verdictOfCopy(table, "r"), qt.Equals, tc.want)
			c.Check(r.Dispatch(), qt.Equals, tc.dispatch)
			r.Finish()
			c.Check(table.Running(), qt.Equals, 0)
		})
	}
}

func TestCancelRacesWithDispatch(t *testing.T) {
	c := qt.New(t)
	for i := range 200 {
		table := New(10)
		r := begin(c, table, "r")
		sent := make(chan bool)
		go func() { sent <- r.Dispatch() }()
		v := table.Cancel(attempt("r"), start, start)
		c.Assert(<-sent, qt.Equals, v == fault.MayHaveRun, qt.Commentf("round %d", i))
	}
}

func TestFullTableReturnsMayHaveRun(t *testing.T) {
	c := qt.New(t)
	table := New(2)
	begin(c, table, "a")
	c.Assert(table.Cancel(attempt("b"), start, start), qt.Equals, fault.NotRun)
	c.Assert(verdictOfCopy(table, "c"), qt.Equals, fault.MayHaveRun)
	c.Assert(table.Cancel(attempt("d"), start, start), qt.Equals, fault.MayHaveRun)
	c.Assert(table.Len(), qt.Equals, 2)
}

func TestSweptAttemptsAreNotRun(t *testing.T) {
	c := qt.New(t)
	table := New(1000)
	var ids []string
	for range 100 {
		id := uuid.Must(uuid.NewV7()).String()
		ids = append(ids, id)
		c.Assert(table.Cancel(attempt(id), start, start.Add(time.Minute)), qt.Equals, fault.NotRun)
	}
	table.Sweep(start.Add(time.Minute + timing.ClockSkew - 1))
	c.Assert(table.Len(), qt.Equals, 100)
	table.Sweep(start.Add(time.Minute + timing.ClockSkew))
	c.Assert(table.Len(), qt.Equals, 0)
	for _, id := range ids {
		c.Assert(verdictOfCopy(table, id), qt.Equals, fault.NotRun)
		c.Assert(table.Cancel(attempt(id), start, start), qt.Equals, fault.MayHaveRun)
	}
}

func TestSweepKeepsWhatIsInFlight(t *testing.T) {
	c := qt.New(t)
	table := New(10)
	r := begin(c, table, "r")
	r.Dispatch()
	table.Sweep(start.Add(time.Hour))
	c.Assert(table.Len(), qt.Equals, 1)
	r.Finish()
	table.Sweep(start.Add(time.Hour))
	c.Assert(table.Len(), qt.Equals, 0)
}

func TestCrashesAreCountedOnceForAllInFlight(t *testing.T) {
	c := qt.New(t)
	table := New(10)
	var all []*Record
	for i := range 3 {
		r := begin(c, table, fmt.Sprint(i))
		r.Dispatch()
		all = append(all, r)
	}
	for _, r := range all {
		c.Assert(r.RecordCrash(), qt.Equals, Crash{Number: 1, InFlight: 3})
		r.Finish()
	}
	r := begin(c, table, "later")
	r.Dispatch()
	c.Assert(r.RecordCrash(), qt.Equals, Crash{Number: 2, InFlight: 1})
}

func TestAttemptsPurgedFromFullTableAreNotRun(t *testing.T) {
	c := qt.New(t)
	table := New(2)
	first, second, third := uuid.Must(uuid.NewV7()).String(), uuid.Must(uuid.NewV7()).String(),
		uuid.Must(uuid.NewV7()).String()
	begin(c, table, first).Forbid()
	begin(c, table, second)
	begins := func(at time.Time) error {
		_, err := table.Begin(attempt(third), at, at.Add(time.Minute), func() {})
		return err
	}
	c.Assert(begins(start.Add(time.Minute-1)), qt.IsNotNil)
	c.Assert(begins(start.Add(time.Minute)), qt.IsNotNil) // within purgeInterval of the last purge
	c.Assert(begins(start.Add(time.Minute+purgeInterval)), qt.IsNil)
	c.Assert(table.Len(), qt.Equals, 2)
	c.Assert(verdictOfCopy(table, first), qt.Equals, fault.NotRun)
	c.Assert(table.Cancel(attempt(first), start, start), qt.Equals, fault.MayHaveRun)
}
