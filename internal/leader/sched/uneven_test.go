package sched_test

import (
	"fmt"
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

const stageUpstreams = 18

// Entries that decide alone have all just heard that one upstream is free and fast. Each then gets one request; they must
// not all call that upstream, nor all the same other one.
func TestNoHerdTowardsAFreeUpstream(t *testing.T) {
	for _, entries := range []int{24, 358} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := qt.New(t)
			var all []hosts.Upstream
			for i := range stageUpstreams {
				all = append(all, hosts.Upstream{ID: fmt.Sprintf("u-%02d", i), Pool: "p", State: hosts.Ready})
			}
			calls := map[string]int{}
			for i := range entries {
				s := sched.New(noLimits()).WithRandom(rand.New(rand.NewPCG(1, uint64(i))).Uint64)
				s.SetPool("p", stagePool)
				s.SetUpstreams(hosts.New(all, start))
				for n, u := range all {
					load := call.Load{Running: 1, Waiting: 1, Slots: 1, TimePercent: 200}
					if n == stageUpstreams/2 {
						load = call.Load{Slots: 1, TimePercent: 40}
					}
					s.ObserveLoad(u.Lifetime(), load, start)
				}
				s.Submit(sched.Job{ID: "j", RequestID: "j", Arrived: start, Target: start.Add(2 * time.Second),
					Deadline: start.Add(6 * time.Second), Stages: []sched.Stage{{Pool: "p", Pieces: 3, ResultBytes: 1000}}}, start)
				for _, b := range s.Schedule(start.Add(10 * time.Millisecond)).Batches {
					calls[b.Upstream.ID]++
				}
			}
			mean := float64(entries) / stageUpstreams
			most := 0
			for _, n := range calls {
				most = max(most, n)
			}
			c.Logf("%d entries: %.1f calls per upstream, at most %d", entries, mean, most)
			c.Check(float64(most) <= mean+4*math.Sqrt(mean), qt.IsTrue, qt.Commentf("%d calls at one upstream", most))
		})
	}
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
	sim := newSimulation(map[string]rule.Batch{"p": stagePool}, stageUpstreams, seed)
	sim.statesLoad = statesLoad
	random := rand.New(rand.NewPCG(seed, 2))
	phases := map[string][]time.Time{} // ends of the periods of each upstream, disturbed ones alternating with others
	for _, id := range sortedNames(sim.upstreams) {
		for at := start; at.Before(start.Add(2 * seconds * time.Second)); {
			for _, mean := range []float64{1.0, 0.5} {
				at = at.Add(time.Duration((0.5 + random.Float64()) * mean * float64(time.Second)))
				phases[id] = append(phases[id], at)
			}
		}
	}
	sim.disturbed = func(id string, at time.Time) float64 {
		if n, _ := slices.BinarySearchFunc(phases[id], at, time.Time.Compare); n%2 == 1 {
			return 2.5
		}
		return 1
	}
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
