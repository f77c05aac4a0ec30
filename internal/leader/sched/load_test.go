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
	heldPart  = 0.65 // of its time, within which each job must have its decision
	drainTime = 15 * time.Second
	loadSeeds = 3
)

// loadFile is testdata/loads.yaml.
type loadFile struct {
	Pools map[string]struct {
		Size      int
		CallMs    float64 `yaml:"callMs"`
		PieceMs   float64 `yaml:"pieceMs"`
		Headroom  int64
		Upstreams int
	}
	Kinds map[string]loadKind
	Loads []load
}

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

type load struct {
	Name      string
	Seconds   float64
	Slow      int
	Silent    int
	PerSecond map[string]float64 `yaml:"perSecond"`
	InTime    map[string]float64 `yaml:"inTime"`
	Wasted    float64            // most of the jobs that may be given up after they have begun; unbounded when 0
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
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playLoad(qt.New(t), f, l, seed) })
			}
		})
	}
}

func playLoad(c *qt.C, f loadFile, l load, seed uint64) {
	pools := map[string]rule.Batch{}
	count := 0
	for name, p := range f.Pools {
		pools[name] = rule.Batch{
			Size: p.Size, Call: millis(p.CallMs), Piece: millis(p.PieceMs), Headroom: p.Headroom, ResultRetention: 4 * time.Second,
		}
		count = p.Upstreams
	}
	w := newWorld(pools, count, seed)
	for name := range pools {
		for i := range l.Slow {
			w.upstreams[fmt.Sprintf("%s-%d", name, i)].factor = slowFactor
		}
		for i := range l.Silent {
			w.upstreams[fmt.Sprintf("%s-%d", name, i)].silent = true
		}
	}
	w.work = func(job string, stage int) float64 {
		if work := f.Kinds[w.jobs[job].kind].Stages[stage].Work; work > 0 {
			return work
		}
		return 1
	}
	scheduleArrivals(w, f, l)
	w.run(time.Duration(l.Seconds*float64(time.Second)) + drainTime)
	checkLoad(c, w, f, l)
}

// scheduleArrivals draws the arrivals of each kind.
func scheduleArrivals(w *world, f loadFile, l load) {
	id := 0
	for _, kind := range sortedNames(l.PerSecond) {
		spec := f.Kinds[kind]
		resultBytes[kind] = nil
		for _, s := range spec.Stages {
			resultBytes[kind] = append(resultBytes[kind], s.Bytes)
		}
		for at := 0.0; ; {
			at += w.random.ExpFloat64() / l.PerSecond[kind]
			if at > l.Seconds {
				break
			}
			id++
			name := fmt.Sprintf("%s-%d", kind, id)
			w.after(time.Duration(at*float64(time.Second)), func(now time.Time) { w.submit(kind, spec.job(name, now)) })
		}
	}
}

func (k loadKind) job(id string, now time.Time) sched.Job {
	j := sched.Job{
		ID: id, Request: id, Rank: k.Rank, Arrived: now, Target: now.Add(millis(k.TargetMs)), Deadline: now.Add(millis(k.DeadlineMs)),
		FinalStep: finalStep,
	}
	for _, s := range k.Stages {
		j.Stages = append(j.Stages, sched.Stage{Pool: s.Pool, After: s.After, Pieces: s.Pieces, ResultBytes: s.Bytes})
	}
	return j
}

func checkLoad(c *qt.C, w *world, f loadFile, l load) {
	total, inTime := map[string]int{}, map[string]int{}
	wasted := 0
	for id, o := range w.jobs {
		if o.began && !o.granted {
			wasted++
		}
		total[o.kind]++
		if o.granted && !o.first.IsZero() && !o.first.After(o.target) {
			inTime[o.kind]++
		}
		c.Check(o.decided.IsZero(), qt.IsFalse, qt.Commentf("no decision on %s", id))
		hold := time.Duration(heldPart * float64(millis(f.Kinds[o.kind].DeadlineMs)))
		c.Check(o.decided.Sub(o.begun) <= hold, qt.IsTrue, qt.Commentf("%s was held for %v", id, o.decided.Sub(o.begun)))
	}
	c.Check(w.broken, qt.HasLen, 0)
	for kind, least := range l.InTime {
		part := float64(inTime[kind]) / float64(total[kind])
		c.Logf("%s: %s: %.3f of %d in time", l.Name, kind, part, total[kind])
		c.Check(part >= least, qt.IsTrue, qt.Commentf("%s: only %.3f in time", kind, part))
	}
	part := float64(wasted) / float64(len(w.jobs))
	c.Logf("%s: %.3f of %d given up after they had begun", l.Name, part, len(w.jobs))
	c.Check(l.Wasted == 0 || part <= l.Wasted, qt.IsTrue, qt.Commentf("%.3f given up after they had begun", part))
	for id, u := range w.upstreams {
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

// BenchmarkStep plays a look at a board that has no upstream free, as after most messages.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ jobs, upstreams int }{{250, 40}, {1000, 40}, {5000, 40}, {250, 400}, {5000, 400}} {
		b.Run(fmt.Sprintf("%d jobs %d upstreams", size.jobs, size.upstreams), func(b *testing.B) {
			now := time.Unix(1000, 0)
			t := sched.New()
			t.SetPool("p", rule.Batch{Size: 8, Call: 200 * time.Millisecond, Piece: 20 * time.Millisecond, Headroom: 18e6, ResultRetention: 4 * time.Second})
			var all []hosts.Upstream
			for i := range size.upstreams {
				all = append(all, hosts.Upstream{ID: fmt.Sprint("u", i), Pool: "p", State: hosts.Ready, Zone: fmt.Sprint(i % 5)})
			}
			t.SetUpstreams(hosts.New(all, now))
			for i := range size.jobs {
				t.Submit(sched.Job{
					ID: fmt.Sprint(i), Arrived: now, Target: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
					Stages: []sched.Stage{{Pool: "p", Pieces: 2, ResultBytes: 1000}, {Pool: "p", Pieces: 1, After: []int{0}}},
				}, now)
			}
			t.Step(now)
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				t.Step(now)
			}
		})
	}
}
