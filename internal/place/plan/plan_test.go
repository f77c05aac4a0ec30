package plan

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

var bothModels = []string{"a", "b"}

// runners returns one runner for each letter, which names the model that it holds; "-" holds none. They are spread over
// three zones.
func runners(models string) []Runner {
	var out []Runner
	for i, m := range models {
		r := Runner{Name: fmt.Sprintf("r%02d", i), Zone: fmt.Sprint("z", i%3), Live: true, Models: bothModels, Loaded: true}
		if m != '-' {
			r.Target = lease.Target{Model: string(m)}
		}
		out = append(out, r)
	}
	return out
}

// requirements returns the requirements of a runners for model "a" and b runners for model "b".
func requirements(a, b int) []Requirement {
	return []Requirement{{Model: "a", Runners: a}, {Model: "b", Runners: b}}
}

// countTargets returns the number of runners that the plan gives each model.
func countTargets(out Output) map[string]int {
	n := map[string]int{}
	for _, t := range out.Targets {
		n[t.Model]++
	}
	return n
}

func TestPresetIsMetWithFewMoves(t *testing.T) {
	c := qt.New(t)
	out := New(Input{Now: epoch, Runners: runners("aaaaab"), Requirements: requirements(3, 3), MaxLoads: 10})
	c.Assert(countTargets(out), qt.DeepEquals, map[string]int{"a": 3, "b": 3})
	c.Assert(out.Moves, qt.HasLen, 2)
	c.Assert(out.Moves[0].Reason, qt.Equals, ReasonPreset)
}

func TestNoMovesWhenRequirementsAreMet(t *testing.T) {
	c := qt.New(t)
	out := New(Input{Now: epoch, Runners: runners("aaabbb"), Requirements: requirements(3, 3), MaxLoads: 10})
	c.Assert(out.Moves, qt.HasLen, 0)
}

func TestModelsAreSpreadOverZones(t *testing.T) {
	c := qt.New(t)
	list := runners("---------")
	zoneOf := map[string]string{}
	for i := range list {
		list[i].Zone = fmt.Sprint("z", i/3)
		zoneOf[list[i].Name] = list[i].Zone
	}
	out := New(Input{Now: epoch, Runners: list, Requirements: requirements(3, 3), MaxLoads: 10})
	zones := map[string]map[string]int{"a": {}, "b": {}}
	for _, m := range out.Moves {
		if m.Reason == ReasonPreset {
			zones[m.To.Model][zoneOf[m.Runner]]++
		}
	}
	c.Assert(zones["a"], qt.DeepEquals, map[string]int{"z0": 1, "z1": 1, "z2": 1})
	c.Assert(zones["b"], qt.DeepEquals, map[string]int{"z0": 1, "z1": 1, "z2": 1})
}

func TestMoveGoesToTheZoneWithoutTheModel(t *testing.T) {
	c := qt.New(t)
	list := runners("aaaabaa")
	for i := range list {
		list[i].Zone = "crowded"
	}
	list[5].Zone, list[6].Zone = "empty", "empty"
	out := New(Input{Now: epoch, Runners: list, Requirements: requirements(5, 2), MaxLoads: 10})
	c.Assert(out.Moves, qt.HasLen, 1)
	c.Assert(out.Moves[0].Runner, qt.Equals, "r05")
}

func TestLoadsAreLimited(t *testing.T) {
	c := qt.New(t)
	in := Input{Now: epoch, Runners: runners("aaaaaa"), Requirements: requirements(0, 6), MaxLoads: 2}
	out := New(in)
	c.Assert(out.Moves, qt.HasLen, 2)
	// Loads in progress count against the limit.
	in.Runners[0].Loaded = false
	c.Assert(New(in).Moves, qt.HasLen, 1)
	c.Assert(ConcurrentLoads(10_000, 40_000, 8*time.Second), qt.Equals, 2)
	c.Assert(ConcurrentLoads(10, 40_000, time.Second), qt.Equals, 1)
}

func TestDemandMovesRunnersAfterADelayAndWithHysteresis(t *testing.T) {
	c := qt.New(t)
	in := Input{
		Now: epoch, Runners: runners("aaaabb"), Requirements: requirements(1, 1), MaxLoads: 4, MoveAfter: time.Minute,
		Demands: []Demand{{Pipeline: "p", Model: "b", PerSecond: 2, Seconds: 1},
			{Pipeline: "q", Model: "a", PerSecond: 1, Seconds: 0.5}},
	}
	out := New(in)
	c.Assert(out.Moves, qt.HasLen, 0)
	in.Now = epoch.Add(time.Minute)
	in.ShortSince = out.ShortSince
	out = New(in)
	c.Assert(out.Moves, qt.HasLen, 1)
	c.Assert(out.Moves[0].Reason, qt.Equals, ReasonDemand)
	c.Assert(out.Moves[0].To.Model, qt.Equals, "b")

	// A small shift of demand to the other model moves nothing back.
	in.Runners = runners("aaabbb")
	in.Demands = []Demand{{Model: "b", PerSecond: 1.7, Seconds: 1}, {Model: "a", PerSecond: 2.2, Seconds: 1}}
	for i := range 10 {
		in.Now = epoch.Add(time.Duration(10+i) * time.Minute)
		out = New(in)
		in.ShortSince = out.ShortSince
		c.Assert(out.Moves, qt.HasLen, 0)
	}
}

func TestVersionsAreRolledOutWithinTheLoadLimit(t *testing.T) {
	c := qt.New(t)
	in := Input{Now: epoch, Runners: runners("aaaa"),
		Requirements: []Requirement{{Model: "a", Version: "2", Runners: 4}}, MaxLoads: 1}
	out := New(in)
	c.Assert(out.Moves, qt.HasLen, 1)
	c.Assert(out.Moves[0].Reason, qt.Equals, ReasonVersion)
	c.Assert(out.Moves[0].To.Version, qt.Equals, "2")
}

func TestMissingRunnersAreReported(t *testing.T) {
	c := qt.New(t)
	out := New(Input{Now: epoch, Runners: runners("ab"), Requirements: requirements(3, 1), MaxLoads: 9})
	c.Assert(out.Missing, qt.DeepEquals, map[string]int{"a": 2})
	c.Assert(out.Moves, qt.HasLen, 0)
}

// Consecutive plans converge, never take runners from a model that the preset requires, and never start more loads than
// allowed.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.SampledFrom([]rune("ab-")), 2, 24).Draw(t, "runners")
		in := Input{
			Now: epoch, Runners: runners(string(letters)),
			MaxLoads: rapid.IntRange(1, 4).Draw(t, "loads"), MoveAfter: time.Minute,
			Requirements: requirements(rapid.IntRange(0, 12).Draw(t, "a"), rapid.IntRange(0, 12).Draw(t, "b")),
			Demands: []Demand{
				{Model: "a", PerSecond: rapid.Float64Range(0, 10).Draw(t, "demandA"), Seconds: 1},
				{Model: "b", PerSecond: rapid.Float64Range(0, 10).Draw(t, "demandB"), Seconds: 1},
			},
		}
		unchanged := 0
		for i := range 200 {
			before := countRunners(in.Runners)
			out := New(in)
			if len(out.Moves) > in.MaxLoads {
				t.Fatalf("%d loads at once, %d allowed", len(out.Moves), in.MaxLoads)
			}
			after := countTargets(out)
			for _, req := range in.Requirements {
				if after[req.Model] < min(before[req.Model], req.Runners) {
					t.Fatalf("model %s went from %d to %d runners, %d required",
						req.Model, before[req.Model], after[req.Model], req.Runners)
				}
			}
			for j, r := range in.Runners {
				in.Runners[j].Target = out.Targets[r.Name]
			}
			in.Now = in.Now.Add(30 * time.Second)
			in.ShortSince = out.ShortSince
			unchanged++
			if len(out.Moves) > 0 {
				unchanged = 0
			}
			if unchanged == 10 {
				return
			}
			if i == 199 {
				t.Fatalf("plans don't settle: %+v", out.Moves)
			}
		}
	})
}

// countRunners returns the number of runners by the model of their target.
func countRunners(list []Runner) map[string]int {
	n := map[string]int{}
	for _, r := range list {
		n[r.Target.Model]++
	}
	return n
}
