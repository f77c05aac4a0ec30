package sched_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// stagePool is the first stage pool of deployment N.
var stagePool = rule.Batch{Size: 12, Call: 200 * time.Millisecond, Piece: 14 * time.Millisecond, Headroom: 27e6,
	ResultRetention: 4 * time.Second}

const (
	stageUpstreams = 18
	crowdSeeds     = 8
	crowdTolerance = 1.03 // of the mean wait, for chance
)

// Entries that decide alone share upstreams that other work slows for fractions of a second, and hear from each answer how
// its upstream is. If they all went to the one that looked free, calls would wait there while others are idle. Callers
// must wait no longer than if each entry chose at random.
func TestNoHerdTowardsAFreeUpstream(t *testing.T) {
	for _, entries := range []int{24, 358} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := qt.New(t)
			var wait, randomWait time.Duration
			most, randomMost := 0, 0
			for seed := range uint64(crowdSeeds) {
				w, n := waitOfCrowd(entries, true, seed)
				wait, most = wait+w/crowdSeeds, max(most, n)
				w, n = waitOfCrowd(entries, false, seed)
				randomWait, randomMost = randomWait+w/crowdSeeds, max(randomMost, n)
			}
			c.Logf("calls wait for %v, behind %d at most; %v and %d if chosen at random", wait, most, randomWait, randomMost)
			c.Check(float64(wait) <= crowdTolerance*float64(randomWait), qt.IsTrue)
			c.Check(most <= randomMost+2, qt.IsTrue)
		})
	}
}

// All entries hear at the same moment that one upstream is free and fast and all others are not, and each gets a request.
func TestNoHerdAfterTheSameNews(t *testing.T) {
	c := qt.New(t)
	for _, entries := range []int{24, 358} {
		calls := map[string]int{}
		random := rand.New(rand.NewPCG(1, 4))
		for range entries {
			s := sched.New(noLimits()).WithRandom(random.Uint64)
			s.SetPool("p", stagePool)
			table := (&simulation{pools: map[string]rule.Batch{"p": stagePool}, now: start}).table(map[string]int{"p": stageUpstreams})
			s.SetUpstreams(table)
			for n, u := range table.Ready("p") {
				load := call.Load{Running: 1, Waiting: 1, Slots: 1, TimePercent: 200}
				if n == stageUpstreams/2 {
					load = call.Load{Slots: 1, TimePercent: 40}
				}
				s.ObserveLoad(u.Lifetime(), load, start)
			}
			s.Submit(sched.Job{ID: "j", Arrived: start, Target: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour),
				Stages: []sched.Stage{{Pool: "p", Pieces: 3}}}, start)
			b := s.Schedule(start.Add(tick)).Batches[0]
			calls[b.Upstream.ID]++
			c.Check(float64(b.Timeout) <= 5*1.7*float64(b.Usual), qt.IsTrue, qt.Commentf("holds its pieces for %v", b.Timeout))
		}
		mean, most := float64(entries)/stageUpstreams, slices.Max(slices.Collect(maps.Values(calls)))
		c.Logf("%d entries: %d calls at most to one upstream, %.1f on average", entries, most, mean)
		c.Check(float64(most) <= mean+5*math.Sqrt(mean), qt.IsTrue) // five standard deviations of a random choice
	}
}

// waitOfCrowd simulates entries that decide alone and returns how long calls wait at their upstreams, on average, and the
// most calls that one waits behind. The entries choose at random if they do not use the stated load.
func waitOfCrowd(entries int, useLoad bool, seed uint64) (wait time.Duration, most int) {
	const seconds, perSecond = 20, 35
	random := rand.New(rand.NewPCG(seed, 3))
	table := (&simulation{pools: map[string]rule.Batch{"p": stagePool}, now: start}).table(map[string]int{"p": stageUpstreams})
	ups := table.Ready("p")
	sim := &simulation{now: start}
	sim.disturbed = disturbance(ups, seconds, random)
	ends := map[string][]time.Time{} // of the calls that an upstream has, in order
	schedulers := make([]*sched.Scheduler, entries)
	for i := range schedulers {
		schedulers[i] = sched.New(noLimits()).WithRandom(random.Uint64)
		schedulers[i].SetPool("p", stagePool)
		schedulers[i].SetUpstreams(table)
		for _, u := range ups { // so that the pool is known to state its load
			schedulers[i].ObserveLoad(u.Lifetime(), call.Load{Slots: 1, TimePercent: 100}, start.Add(-time.Minute))
		}
	}
	calls := 0
	startCall := func(s *sched.Scheduler, b sched.Batch) {
		if !useLoad {
			b.Upstream = ups[random.IntN(len(ups))]
		}
		id := b.Upstream.ID
		ends[id] = slices.DeleteFunc(ends[id], func(end time.Time) bool { return !end.After(sim.now) })
		begin := sim.now
		if n := len(ends[id]); n > 0 {
			begin, most = ends[id][n-1], max(most, n)
		}
		calls++
		wait += begin.Sub(sim.now)
		end := begin.Add(sim.durationAt(id, begin, b.Usual))
		ends[id] = append(ends[id], end)
		sim.after(end.Sub(sim.now), func(now time.Time) {
			waiting := 0
			for _, other := range ends[id] {
				if other.After(now) {
					waiting++
				}
			}
			if useLoad {
				s.ObserveLoad(b.Upstream.Lifetime(), call.Load{Running: 1, Waiting: waiting, Slots: 1,
					TimePercent: int(100 * sim.disturbed(id, now))}, now)
			}
			s.CallFinished(b.ID, make([]call.Result, len(b.Items)), now)
		})
	}
	for n, at := 0, 0.0; at < seconds; n++ {
		at += random.ExpFloat64() / perSecond
		sim.after(time.Duration(at*float64(time.Second)), func(now time.Time) {
			s := schedulers[random.IntN(entries)]
			s.Submit(sched.Job{ID: fmt.Sprint(n), Arrived: now, Target: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
				Stages: []sched.Stage{{Pool: "p", Pieces: 3}}}, now)
			for _, b := range s.Schedule(now).Batches {
				startCall(s, b)
			}
		})
	}
	for len(sim.events) > 0 {
		slices.SortStableFunc(sim.events, func(a, b event) int { return a.at.Compare(b.at) })
		e := sim.events[0]
		sim.events, sim.now = sim.events[1:], e.at
		e.do(sim.now)
	}
	return wait / time.Duration(calls), most
}

// Other work slows a third of the upstreams 2.5 times for fractions of a second. Callers must be served in time more often
// if the upstreams say so than if they do not.
func TestStatedLoadHelpsCallers(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{60, 90, 120} {
		without, with := 0.0, 0.0
		for seed := range uint64(loadSeeds) {
			without += inTimeWhenDisturbed(c, seed, perSecond, false) / loadSeeds
			with += inTimeWhenDisturbed(c, seed, perSecond, true) / loadSeeds
		}
		c.Logf("%.0f/s: in time %.3f without the header, %.3f with it", perSecond, without, with)
		c.Check(with >= without, qt.IsTrue, qt.Commentf("at %.0f/s", perSecond))
	}
}

// inTimeWhenDisturbed returns the fraction of requests that meet their target while other work disturbs the upstreams.
func inTimeWhenDisturbed(c *qt.C, seed uint64, perSecond float64, statesLoad bool) float64 {
	const seconds = 20
	sim := newSimulation(map[string]rule.Batch{"p": stagePool}, map[string]int{"p": stageUpstreams}, seed)
	sim.scheduler.WithRandom(rand.New(rand.NewPCG(seed, 5)).Uint64)
	sim.statesLoad = statesLoad
	sim.disturbed = disturbance(sim.table(map[string]int{"p": stageUpstreams}).Ready("p"), 2*seconds, rand.New(rand.NewPCG(seed, 2)))
	f := loadFile{Kinds: map[string]loadKind{"draft": {TargetMs: 1000, DeadlineMs: 6000}}}
	kind := f.Kinds["draft"]
	kind.Stages = append(kind.Stages, struct {
		Pool   string
		After  []int
		Pieces int
		Bytes  int64
		Work   float64
	}{Pool: "p", Pieces: 3, Bytes: 10_000})
	f.Kinds["draft"] = kind
	l := load{Seconds: seconds, PerSecond: map[string]float64{"draft": perSecond}}
	scheduleArrivals(sim, f, l)
	sim.run(seconds*time.Second + drainTime)
	c.Check(sim.violations, qt.HasLen, 0)
	inTime := 0
	for _, o := range sim.jobs {
		if o.granted && !o.firstByte.IsZero() && !o.firstByte.After(o.target) {
			inTime++
		}
	}
	return float64(inTime) / float64(len(sim.jobs))
}

// Pools whose upstreams state no load must be scheduled as before: the durations of the configuration, no random order, and
// no correction by what was learned of a slow upstream or of another pool.
func TestPoolsWithoutStatedLoadAreScheduledAsBefore(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(map[string]rule.Batch{"p": stagePool, "q": stagePool}, map[string]int{"p": 3, "q": 3}, 1)
	sim.upstreams["p-0"].slowdown = 3
	sim.scheduler.WithRandom(func() uint64 { c.Fatal("a random order"); return 0 })
	sim.scheduler.ObserveLoad(hosts.Lifetime{ID: "q-0"}, call.Load{Running: 9, Slots: 1, TimePercent: 400}, start)
	ids := map[string]int{}
	for i := range 50 {
		id := fmt.Sprint(i)
		sim.submit("k", sched.Job{ID: id, RequestID: id, Arrived: sim.now, Target: sim.now.Add(time.Hour),
			Deadline: sim.now.Add(2 * time.Hour), Stages: []sched.Stage{{Pool: "p", Pieces: 1 + i%5}}})
		out := sim.scheduler.Schedule(sim.now)
		for _, b := range out.Batches {
			ids[b.Upstream.ID]++
			expected := stagePool.Call + time.Duration(len(b.Items))*stagePool.Piece + 4*time.Millisecond
			c.Check(b.Expected, qt.Equals, expected)
			c.Check(b.Timeout, qt.Equals, max(time.Second, 5*expected))
		}
		sim.resultBytes["k"] = []int64{0}
		sim.carryOut(out)
		sim.run(100 * time.Millisecond)
	}
	c.Check(ids, qt.HasLen, 3)
}

// disturbance returns by how much other work slows each upstream at a time: 2.5 times for about half a second, every 1.5 s.
func disturbance(ups []hosts.Upstream, seconds int, random *rand.Rand) func(id string, at time.Time) float64 {
	phases := map[string][]time.Time{} // ends of the periods of each upstream, disturbed ones alternating with others
	for _, u := range ups {
		for at := start; at.Before(start.Add(time.Duration(seconds) * time.Second)); {
			for _, mean := range []float64{1.0, 0.5} {
				at = at.Add(time.Duration((0.5 + random.Float64()) * mean * float64(time.Second)))
				phases[u.ID] = append(phases[u.ID], at)
			}
		}
	}
	return func(id string, at time.Time) float64 {
		if n, _ := slices.BinarySearchFunc(phases[id], at, time.Time.Compare); n%2 == 1 {
			return 2.5
		}
		return 1
	}
}
