package procs_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

// faultDuration is how long a fault lasts. The tests assert nothing about time.
const faultDuration = 1500 * time.Millisecond

const memoryLimitMB = 216 // of a process, as the smallest side machine of the operators grants it

// TestRollingReplacement stops and restarts every process under load and checks that no request is cut.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t)
	f.publish()
	tr := f.startTraffic()
	time.Sleep(faultDuration)
	for i := range zones {
		f.replaceZone(c, i)
		time.Sleep(faultDuration)
	}
	for _, p := range f.entries {
		c.Check(p.Stop(), qt.Equals, 0, qt.Commentf("exit code of %s", p.name))
		p.start()
		time.Sleep(faultDuration)
	}
	counts := tr.finish(t)
	c.Check(counts.HasViolations(), qt.IsFalse)
	c.Check(counts.Whole, qt.Equals, counts.Requests)
	c.Check(tr.cutOff.Load(), qt.Equals, int64(0), qt.Commentf("answers cut by a planned stop"))
	c.Check(tr.mayHaveRun.Load(), qt.Equals, int64(0), qt.Commentf("requests cut by a planned stop"))
}

// replaceZone stops and restarts all sides of a zone at once.
func (f *fleet) replaceZone(c *qt.C, i int) {
	var wg sync.WaitGroup
	for name, p := range f.sides {
		if !strings.HasSuffix(name, fmt.Sprint("-", i)) {
			continue
		}
		wg.Go(func() {
			c.Check(p.Stop(), qt.Equals, 0, qt.Commentf("exit code of %s", name))
			p.start()
		})
	}
	wg.Wait()
}

// TestUnplanned kills, freezes and disturbs processes and the platform under load and checks that the guarantees hold.
func TestUnplanned(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t)
	f.publish()
	tr := f.startTraffic()
	cases := []struct {
		name  string
		begin func()
		end   func()
	}{
		{"a side beside an engine is killed", f.sides["engine-0"].Kill, f.sides["engine-0"].start},
		{"a side beside a service is killed", f.sides["treasury-0"].Kill, f.sides["treasury-0"].start},
		{"a side beside a service freezes", f.freeze("treasury-1"), f.thaw("treasury-1")},
		{"an entry is killed", f.entries[0].Kill, f.entries[0].start},
		{"an engine dies", f.units["engine-1"].Proc.Stop, f.units["engine-1"].Proc.Start},
		{"the log is down", func() { f.log.SetDown(true) }, func() { f.log.SetDown(false) }},
		{"the log loses answers", func() { f.log.LoseAnswers(20) }, func() { f.log.LoseAnswers(0) }},
		{"the host list is down", func() { f.list.SetDown(true) }, func() { f.list.SetDown(false) }},
		{"a service loses answers", loseAnswers(f.units["treasury-2"]), clearFault(f.units["treasury-2"])},
		{"an encoder is slow", slow(f.units["encoders-0"]), clearFault(f.units["encoders-0"])},
		{"an entry freezes", func() { f.entries[1].Signal(syscall.SIGSTOP) },
			func() { f.entries[1].Signal(syscall.SIGCONT) }},
	}
	for _, tc := range cases {
		t.Log(tc.name)
		tc.begin()
		time.Sleep(faultDuration)
		tc.end()
		time.Sleep(faultDuration / 3)
	}
	f.usePreset("peak")
	time.Sleep(faultDuration)
	counts := tr.finish(t)
	c.Check(counts.HasViolations(), qt.IsFalse)
	c.Check(counts.Whole > counts.Requests*9/10, qt.IsTrue, qt.Commentf("%d of %d whole", counts.Whole, counts.Requests))
}

func (f *fleet) freeze(side string) func() {
	return func() { f.sides[side].Signal(syscall.SIGSTOP) }
}

func (f *fleet) thaw(side string) func() {
	return func() { f.sides[side].Signal(syscall.SIGCONT) }
}

func loseAnswers(u *base.Upstream) func() {
	return func() { u.Faults.Set(faults.Fault{LostAnswers: 5}) }
}

func slow(u *base.Upstream) func() {
	return func() { u.Faults.Set(faults.Fault{SlowFactor: 50}) }
}

func clearFault(u *base.Upstream) func() {
	return func() { u.Faults.Set(faults.Fault{}) }
}

// TestCrashingRequest repeats a request that crashes every engine that runs it. It must be quarantined after two
// crashes, while other requests are served.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	const poison = "poisoned-relish"
	c := qt.New(t)
	f := newFleet(t)
	f.publish()
	engines := []*base.Upstream{f.units["engine-0"], f.units["engine-1"], f.units["engine-2"]}
	for _, u := range engines {
		u.Faults.Set(faults.Fault{Poison: poison, RestartAfter: faultDuration / 2})
	}
	tr := f.startTraffic()
	time.Sleep(faultDuration)
	codes := map[fault.Code]int{}
	var last caller.Answer
	for n := range 6 {
		last = tr.caller.Call(context.Background(), f.ready(n).http, newRequest("summary", poison))
		codes[last.Code]++
		time.Sleep(faultDuration / 2)
	}
	counts := tr.finish(t)
	crashes := 0
	for _, u := range engines {
		crashes += u.Proc.Starts() - 1
	}
	t.Logf("crashes %d, answers to the crashing request %v", crashes, codes)
	c.Check(crashes, qt.Equals, 2)
	c.Check(last.Code, qt.Equals, fault.Quarantined)
	c.Check(codes[""], qt.Equals, 0)
	c.Check(counts.HasViolations(), qt.IsFalse)
	c.Check(counts.Whole, qt.Equals, counts.Requests, qt.Commentf("another request was held back"))
}

// TestAnswersWithoutEnd has all upstreams answer calls, reports and control with bytes without end, and checks that no
// process runs out of memory and that requests are served afterwards.
func TestAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t)
	f.publish()
	tr := f.startTraffic()
	f.flooded.Store(true)
	time.Sleep(3 * faultDuration)
	f.flooded.Store(false)
	time.Sleep(faultDuration)
	c.Check(tr.finish(t).HasViolations(), qt.IsFalse)
	var peak float64
	for _, p := range f.processes() {
		select {
		case <-p.Ended():
			c.Errorf("%s has ended", p.name)
		default:
			peak = max(peak, p.PeakMemoryMB())
		}
	}
	t.Logf("%d answers without end, peak %.0f MB", f.flood.Count(), peak)
	c.Check(f.flood.Count() > callers, qt.IsTrue)
	c.Check(peak > 0 && peak < memoryLimitMB, qt.IsTrue, qt.Commentf("peak %.0f MB", peak))
	f.warmUp()
}

// TestPlacement asks for a second model: the planner moves one runner, its side requests the load, and requests are
// served throughout.
func TestPlacement(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t)
	f.publishWith(func(o *config.Objects) {
		for i := range o.Pools {
			if o.Pools[i].Kind == pool.Engine {
				o.Pools[i].Models = []string{"atlas", "boreas"}
			}
		}
		for i := range o.Presets {
			o.Presets[i].Runners = map[string]int{"atlas": 2, "boreas": 1}
		}
	})
	tr := f.startTraffic()
	f.eventually("a runner of the second model", func(ctx context.Context) error {
		loaded := f.loadedModels(ctx)
		if loaded["boreas"] == 0 {
			return fmt.Errorf("runners hold %v", loaded)
		}
		return nil
	})
	counts := tr.finish(t)
	c.Check(f.loadedModels(context.Background()), qt.DeepEquals, map[string]int{"atlas": 2, "boreas": 1})
	c.Check(counts.HasViolations(), qt.IsFalse)
	c.Check(counts.Whole, qt.Equals, counts.Requests)
}

// loadedModels counts the engines by the model that they have loaded.
func (f *fleet) loadedModels(ctx context.Context) map[string]int {
	out := map[string]int{}
	for _, e := range f.engines {
		if state, err := e.State(ctx); err == nil && !state.Loading {
			out[state.Model]++
		}
	}
	return out
}

// TestSilentConnections silences every open connection for good, first between entries and sides, then between sides
// and upstreams. New connections work, so every request must be answered, except for actions that were in flight, and
// no upstream may be blamed.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t)
	f.publish()
	tr := f.startTraffic()
	time.Sleep(faultDuration)
	silenced := 0
	for _, c := range f.proxies {
		silenced += c.Silence()
	}
	time.Sleep(3 * faultDuration)
	for _, s := range f.servers {
		s.Silence()
	}
	time.Sleep(3 * faultDuration)
	counts := tr.finish(t)
	c.Check(silenced >= len(f.proxies), qt.IsTrue)
	c.Check(counts.HasViolations(), qt.IsFalse)
	c.Check(tr.cutOff.Load(), qt.Equals, int64(0))
	c.Check(counts.Whole+counts.MayHaveRun, qt.Equals, counts.Requests)
	c.Check(counts.MayHaveRun <= callers, qt.IsTrue, qt.Commentf("more actions with unknown outcome than were in flight"))
}
