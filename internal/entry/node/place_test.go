package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/entry/demand"
	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// TestCountDemand checks that a generation counts with its share of the runner's time, and that stages without a model
// add no demand.
func TestCountDemand(t *testing.T) {
	c := qt.New(t)
	n := &Node{demand: demand.New()}
	r := task.Request{
		Pipeline: pipe.Spec{Name: "summary"},
		Stages:   []stage.Spec{{Name: "encode", Pool: "encoders"}, {Name: "generate", Pool: "engines", Model: "atlas"}},
		Pools:    map[string]pool.Spec{"engines": {MaxConcurrency: 16}},
	}
	n.countDemand(r, exec.Cost{Stage: "encode", RunnerMs: 5})
	n.countDemand(r, exec.Cost{Stage: "generate", RunnerMs: 1600})
	got := n.demand.Demands(1, time.Now())
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Model, qt.Equals, "atlas")
	c.Check(got[0].Seconds, qt.Equals, 0.1)
}

// TestDemandedModelsAreWanted checks that a model which is not in the preset may get runners if it has demand.
func TestDemandedModelsAreWanted(t *testing.T) {
	c := qt.New(t)
	in := plan.Input{
		Requirements: []plan.Requirement{{Model: "atlas", Runners: 2}},
		Demands:      []plan.Demand{{Model: "atlas"}, {Model: "boreas", Pipeline: "a"}, {Model: "boreas", Pipeline: "b"}},
	}
	c.Check(addDemandedModels(in), qt.DeepEquals, []plan.Requirement{{Model: "atlas", Runners: 2}, {Model: "boreas"}})
}
