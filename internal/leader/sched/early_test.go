package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// TestInputsThatWereReadLeaveTheirMemory guards against calls that are not full while work waits, because their upstream
// still holds results that running calls have read. The load is a burst of jobs whose second pool holds the results of
// two full calls for each upstream; without early releases 0.67 of the jobs meet their target.
func TestInputsThatWereReadLeaveTheirMemory(t *testing.T) {
	c := qt.New(t)
	pools := map[string]rule.Batch{
		"first":  {Size: 8, Call: millis(200), Piece: millis(21), Headroom: 18_000_000, ResultRetention: 4 * time.Second},
		"second": {Size: 20, Call: millis(200), Piece: millis(8.6), Headroom: 2_600_000, ResultRetention: 4 * time.Second},
		"third":  {Size: 28, Call: millis(200), Piece: millis(6.1), Headroom: 360_000, ResultRetention: 4 * time.Second},
	}
	sim := newSimulation(pools, map[string]int{"first": 5, "second": 5, "third": 5}, 1)
	sim.resultBytes["plan"] = []int64{8_000, 60_000, 6_000}
	const perSecond, seconds = 46, 10
	for i := range perSecond * seconds {
		sim.run(time.Second / perSecond)
		id := fmt.Sprint("plan", i)
		sim.submit("plan", sched.Job{
			ID: id, RequestID: id, Arrived: sim.now,
			Target: sim.now.Add(2 * time.Second), Deadline: sim.now.Add(6 * time.Second),
			Stages: []sched.Stage{
				{Pool: "first", Pieces: 1, ResultBytes: 8_000},
				{Pool: "second", After: []int{0}, Pieces: 6, ResultBytes: 60_000},
				{Pool: "third", After: []int{1}, Pieces: 10, ResultBytes: 6_000},
			},
		})
	}
	sim.run(drainTime)
	inTime := 0
	for _, o := range sim.jobs {
		if o.granted && !o.firstByte.After(o.target) {
			inTime++
		}
	}
	c.Check(sim.violations, qt.HasLen, 0)
	share := float64(inTime) / float64(len(sim.jobs))
	c.Check(share >= 0.9, qt.IsTrue, qt.Commentf("%.3f in time", share))
}
