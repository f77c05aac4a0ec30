package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/place/agent"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// place runs the planner; without a weight store there is none.
func (n *Node) place(ctx context.Context) error {
	if n.o.Weights == nil {
		return nil
	}
	weights := agent.NewLoadLimit(n.o.Weights, time.Now)
	source := func(stream *lease.State) (plan.Input, int64) {
		ix := n.index.Load()
		preset, _ := ix.Set.Preset()
		view := n.links.View()
		in := agent.NewInput(view, ix.Set, stream, weights.Max(ctx, preset.Runners))
		in.Demands = n.demand.Demands(max(1, len(view.Entries)), time.Now())
		in.Requirements = wanted(in)
		return in, ix.Revision
	}
	holder := lease.NewHolder(n.o.Name, n.o.Log, time.Now, n.o.Zap)
	return agent.New(holder, source, time.Now, n.o.Zap).Run(ctx)
}

// defaultConcurrency is how many calls share a runner whose pool declares no ceiling.
const defaultConcurrency = 64

// measure counts the part of a runner that a generation took.
func (n *Node) measure(r task.Request, c exec.Cost) {
	i := slices.IndexFunc(r.Stages, func(st stage.Spec) bool { return st.Name == c.Stage })
	if i < 0 || r.Stages[i].Model == "" {
		return
	}
	st := r.Stages[i]
	share := cmp.Or(r.Pools[st.Pool].MaxConcurrency, defaultConcurrency)
	busy := time.Duration(c.RunnerMs) * time.Millisecond / time.Duration(share)
	n.demand.Count(r.Pipeline.Name, st.Model, busy, time.Now())
}

// wanted adds the models that are asked for and that the preset does not name.
func wanted(in plan.Input) []plan.Requirement {
	wants := in.Requirements
	for _, d := range in.Demands {
		named := func(w plan.Requirement) bool { return w.Model == d.Model }
		if !slices.ContainsFunc(wants, named) {
			wants = append(wants, plan.Requirement{Model: d.Model})
		}
	}
	return wants
}
