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

// TestMeasure checks that a generation counts as its part of a runner, and that other stages ask for no model.
func TestMeasure(t *testing.T) {
	c := qt.New(t)
	n := &Node{demand: demand.New()}
	r := task.Request{
		Pipeline: pipe.Spec{Name: "summary"},
		Stages:   []stage.Spec{{Name: "encode", Pool: "encoders"}, {Name: "generate", Pool: "engines", Model: "atlas"}},
		Pools:    map[string]pool.Spec{"engines": {MaxConcurrency: 16}},
	}
	n.measure(r, exec.Cost{Stage: "encode", RunnerMs: 5})
	n.measure(r, exec.Cost{Stage: "generate", RunnerMs: 1600})
	got := n.demand.Demands(1, time.Now())
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Model, qt.Equals, "atlas")
	c.Check(got[0].Seconds, qt.Equals, 0.1)
}

// TestDemandedModelsAreWanted checks that a model outside of the preset may get runners by demand.
func TestDemandedModelsAreWanted(t *testing.T) {
	c := qt.New(t)
	in := plan.Input{
		Requirements: []plan.Requirement{{Model: "atlas", Runners: 2}},
		Demands:      []plan.Demand{{Model: "atlas"}, {Model: "boreas", Pipeline: "a"}, {Model: "boreas", Pipeline: "b"}},
	}
	c.Check(wanted(in), qt.DeepEquals, []plan.Requirement{{Model: "atlas", Runners: 2}, {Model: "boreas"}})
}
