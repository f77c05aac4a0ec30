package sched_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

const (
	maxDecisionFraction = 0.65             // of the time to its deadline within which each job must be granted or refused
	drainTime           = 15 * time.Second // after the last arrival, for all jobs to end
	loadSeeds           = 3                // simulations of each load
)

// loadFile is the content of testdata/loads.yaml.
type loadFile struct {
	Pools map[string]loadPool
	Kinds map[string]loadKind
	Loads []load
}

// loadPool is a stage pool.
type loadPool struct {
	Size      int
	CallMs    float64 `yaml:"callMs"`
	PieceMs   float64 `yaml:"pieceMs"`
	Headroom  int64
	Upstreams int
}

func (p loadPool) spec() rule.Batch {
	return rule.Batch{
		Size: p.Size, Call: millis(p.CallMs), Piece: millis(p.PieceMs), Headroom: p.Headroom,
		ResultRetention: 4 * time.Second,
	}
}

// loadKind is a kind of job.
type loadKind struct {
	Rank       int
	TargetMs   float64 `yaml:"targetMs"`
	DeadlineMs float64 `yaml:"deadlineMs"`
	Stages     []struct {
		Pool   string
		After  []int
		Pieces int
		Bytes  int64
		Work   float64
	}
}

// load is a mix of jobs and faulty upstreams, with the limits that its outcome must keep.
type load struct {
	Name      string
	Seconds   float64
	Slow      int                // upstreams of each pool that are slower by slowFactor
	Silent    int                // upstreams of each pool that answer no call
	PerSecond map[string]float64 `yaml:"perSecond"` // mean arrivals by kind
	InTime    map[string]float64 `yaml:"inTime"`    // least fraction that must meet its target, by kind
	Wasted    float64            // largest fraction of jobs that may be refused after they started; 0 is no limit
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func readLoads(c *qt.C) loadFile {
	data, err := os.ReadFile("testdata/loads.yaml")
	c.Assert(err, qt.IsNil)
	var f loadFile
	c.Assert(yaml.Unmarshal(data, &f), qt.IsNil)
	return f
}

func TestLoads(t *testing.T) {
	f := readLoads(qt.New(t))
	for _, l := range f.Loads {
		t.Run(l.Name, func(t *testing.T) {
			for seed := range uint64(loadSeeds) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runLoad(qt.New(t), f, l, seed) })
			}
		})
	}
}

// runLoad simulates a load and checks its outcome.
func runLoad(c *qt.C, f loadFile, l load, seed uint64) {
	pools := map[string]rule.Batch{}
	counts := map[string]int{}
	for name, p := range f.Pools {
		pools[name], counts[name] = p.spec(), p.Upstreams
	}
	sim := newSimulation(pools, counts, seed)
	for name := range pools {
		for i := range l.Slow {
			sim.upstreams[fmt.Sprintf("%s-%d", name, i)].slowdown = slowFactor
		}
		for i := range l.Silent {
			sim.upstreams[fmt.Sprintf("%s-%d", name, i)].silent = true
		}
	}
	sim.work = func(job string, stage int) float64 {
		if work := f.Kinds[sim.jobs[job].kind].Stages[stage].Work; work > 0 {
			return work
		}
		return 1
	}
	scheduleArrivals(sim, f, l)
	sim.run(time.Duration(l.Seconds*float64(time.Second)) + drainTime)
	checkLoad(c, sim, f, l)
}

// scheduleArrivals schedules random arrivals of each kind of job, as a Poisson process.
func scheduleArrivals(sim *simulation, f loadFile, l load) {
	id := 0
	for _, kind := range sortedNames(l.PerSecond) {
		spec := f.Kinds[kind]
		sim.resultBytes[kind] = nil
		for _, s := range spec.Stages {
			sim.resultBytes[kind] = append(sim.resultBytes[kind], s.Bytes)
		}
		for at := 0.0; ; {
			at += sim.random.ExpFloat64() / l.PerSecond[kind]
			if at > l.Seconds {
				break
			}
			id++
			name := fmt.Sprintf("%s-%d", kind, id)
			sim.after(time.Duration(at*float64(time.Second)), func(now time.Time) { sim.submit(kind, spec.job(name, now)) })
		}
	}
}

func (k loadKind) job(id string, now time.Time) sched.Job {
	j := sched.Job{
		ID: id, RequestID: id, Rank: k.Rank, Arrived: now,
		Target: now.Add(millis(k.TargetMs)), Deadline: now.Add(millis(k.DeadlineMs)), TimeToFirstToken: firstByteDelay,
	}
	for _, s := range k.Stages {
		j.Stages = append(j.Stages, sched.Stage{Pool: s.Pool, After: s.After, Pieces: s.Pieces, ResultBytes: s.Bytes})
	}
	return j
}

// checkLoad checks that each job was decided in time, that enough met their targets, and that no results are left.
func checkLoad(c *qt.C, sim *simulation, f loadFile, l load) {
	total, inTime := map[string]int{}, map[string]int{}
	wasted := 0
	for id, o := range sim.jobs {
		if o.started && !o.granted {
			wasted++
		}
		total[o.kind]++
		if o.granted && !o.firstByte.IsZero() && !o.firstByte.After(o.target) {
			inTime[o.kind]++
		}
		c.Check(o.decided.IsZero(), qt.IsFalse, qt.Commentf("no decision on %s", id))
		maxHold := time.Duration(maxDecisionFraction * float64(millis(f.Kinds[o.kind].DeadlineMs)))
		c.Check(o.decided.Sub(o.submitted) <= maxHold, qt.IsTrue,
			qt.Commentf("%s was held for %v", id, o.decided.Sub(o.submitted)))
	}
	c.Check(sim.violations, qt.HasLen, 0)
	for kind, minFraction := range l.InTime {
		fraction := float64(inTime[kind]) / float64(total[kind])
		c.Logf("%s: %s: %.3f of %d met their target", l.Name, kind, fraction, total[kind])
		c.Check(fraction >= minFraction, qt.IsTrue, qt.Commentf("%s: only %.3f met their target", kind, fraction))
	}
	fraction := float64(wasted) / float64(len(sim.jobs))
	c.Logf("%s: %.3f of %d given up after they started", l.Name, fraction, len(sim.jobs))
	c.Check(l.Wasted == 0 || fraction <= l.Wasted, qt.IsTrue, qt.Commentf("%.3f given up after they started", fraction))
	for id, u := range sim.upstreams {
		c.Check(len(u.results), qt.Equals, 0, qt.Commentf("%s still holds results", id))
	}
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// BenchmarkSchedule measures Schedule when no upstream is free, which is the case after most events.
func BenchmarkSchedule(b *testing.B) {
	for _, size := range []struct{ jobs, upstreams int }{{250, 40}, {1000, 40}, {5000, 40}, {250, 400}, {5000, 400}} {
		b.Run(fmt.Sprintf("%d jobs %d upstreams", size.jobs, size.upstreams), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := sched.New(noLimits())
			s.SetPool("p", rule.Batch{
				Size: 8, Call: 200 * time.Millisecond, Piece: 20 * time.Millisecond,
				Headroom: 18e6, ResultRetention: 4 * time.Second})
			var all []hosts.Upstream
			for i := range size.upstreams {
				all = append(all, hosts.Upstream{ID: fmt.Sprint("u", i), Pool: "p", State: hosts.Ready, Zone: fmt.Sprint(i % 5)})
			}
			s.SetUpstreams(hosts.New(all, now))
			for i := range size.jobs {
				s.Submit(sched.Job{
					ID: fmt.Sprint(i), Arrived: now, Target: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
					Stages: []sched.Stage{{Pool: "p", Pieces: 2, ResultBytes: 1000}, {Pool: "p", Pieces: 1, After: []int{0}}},
				}, now)
			}
			s.Schedule(now)
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				s.Schedule(now)
			}
		})
	}
}
