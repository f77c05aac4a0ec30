package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func newScheduler(limit int, o sched.Options) *sched.Scheduler[string] {
	o.Limit = adapt.Options{Floor: limit, Ceiling: limit}
	return sched.New[string](o)
}

// drain runs the waiting calls, 100 ms each, and returns their values in the order in which they started.
func drain(s *sched.Scheduler[string], now time.Time) []string {
	var order []string
	var running []*sched.Job[string]
	for {
		for {
			j, err := s.Next(now)
			if j == nil {
				break
			}
			if err == nil {
				order = append(order, j.Value)
				running = append(running, j)
			}
		}
		if len(running) == 0 {
			return order
		}
		now = now.Add(100 * time.Millisecond)
		s.Finish(running[0], now, sched.Result{})
		running = running[1:]
	}
}

func newCall(team string, remaining time.Duration) sched.Call {
	return sched.Call{Team: team, Remaining: remaining, Estimate: 100 * time.Millisecond}
}

func TestLeastSlackFirstWithAging(t *testing.T) {
	s := newScheduler(1, sched.Options{AgeAfter: time.Second, MaxWait: 10 * time.Second})
	offer := func(value string, remaining time.Duration, at time.Time) {
		_, err := s.Offer(newCall("a", remaining), value, at)
		qt.Assert(t, err, qt.IsNil)
	}
	offer("old", 10*time.Second, start)
	offer("loose", 10*time.Second, start.Add(900*time.Millisecond))
	offer("tight", 900*time.Millisecond, start.Add(900*time.Millisecond))
	offer("tighter", 800*time.Millisecond, start.Add(900*time.Millisecond))
	qt.Check(t, drain(s, start.Add(900*time.Millisecond)), qt.DeepEquals, []string{"old", "tighter", "tight", "loose"})
}

func TestTeamsShareByWeightUnderOverload(t *testing.T) {
	s := newScheduler(1, sched.Options{MaxWait: 10 * time.Second})
	admit := func(team string, weight float64, n int) (admitted int) {
		for range n {
			call := newCall(team, time.Minute)
			call.Weight = weight
			if _, err := s.Offer(call, team, start); err == nil {
				admitted++
			}
		}
		return admitted
	}
	admit("greedy", 1, 200)
	qt.Check(t, admit("heavy", 2, 20), qt.Equals, 20, qt.Commentf("another team's queue does not count"))
	qt.Check(t, admit("light", 1, 10), qt.Equals, 10)
	counts := map[string]int{}
	for _, team := range drain(s, start)[:40] {
		counts[team]++
	}
	qt.Check(t, counts["heavy"] >= 18, qt.IsTrue, qt.Commentf("%v", counts))
	qt.Check(t, counts["light"] >= 9, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestSizeClassesDoNotStarveEachOther(t *testing.T) {
	for _, flood := range []pipe.SizeClass{pipe.Long, pipe.Short} {
		s := newScheduler(4, sched.Options{MaxWait: time.Minute})
		for range 200 {
			call := newCall("a", time.Minute)
			call.SizeClass = flood
			_, err := s.Offer(call, "flood", start)
			qt.Assert(t, err, qt.IsNil)
		}
		for range 10 {
			call := newCall("a", time.Minute)
			call.SizeClass = pipe.Long
			if flood == pipe.Long {
				call.SizeClass = pipe.Short
			}
			_, err := s.Offer(call, "other", start)
			qt.Assert(t, err, qt.IsNil)
		}
		others := 0
		for _, value := range drain(s, start)[:30] {
			if value == "other" {
				others++
			}
		}
		qt.Check(t, others, qt.Equals, 10, qt.Commentf("flood of %s", flood))
	}
}

func TestLimitFollowsItsTarget(t *testing.T) {
	l := adapt.New(adapt.Options{Floor: 2, Ceiling: 32, Initial: 16, Target: 100 * time.Millisecond})
	for range 500 {
		l.Observe(200*time.Millisecond, false, l.Value())
	}
	qt.Check(t, l.Value(), qt.Equals, 2, qt.Commentf("never below the floor"))
	for range 2000 {
		l.Observe(50*time.Millisecond, false, l.Value())
	}
	qt.Check(t, l.Value(), qt.Equals, 32)
	for range 500 {
		l.Observe(50*time.Millisecond, false, 1)
	}
	qt.Check(t, l.Value(), qt.Equals, 32)
}

func TestExpiredCallsAreRefusedBeforeDispatch(t *testing.T) {
	s := newScheduler(1, sched.Options{MaxWait: time.Minute})
	_, err := s.Offer(newCall("a", time.Second), "first", start)
	qt.Assert(t, err, qt.IsNil)
	j, err := s.Next(start.Add(2 * time.Second))
	qt.Check(t, j.Value, qt.Equals, "first")
	qt.Check(t, j.State(), qt.Equals, sched.Finished)
	qt.Check(t, fault.From(err).Verdict, qt.Equals, fault.NotRun)
}
