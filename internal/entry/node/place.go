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

// runPlacement runs the placement agent; without a weight store it returns at once.
func (n *Node) runPlacement(ctx context.Context) error {
	if n.opts.Weights == nil {
		return nil
	}
	weights := agent.NewLoadLimit(n.opts.Weights, time.Now)
	source := func(stream *lease.State) (plan.Input, int64) {
		ix := n.index.Load()
		preset, _ := ix.Set.Preset()
		view := n.links.View()
		in := agent.NewInput(view, ix.Set, stream, weights.Max(ctx, preset.Runners))
		in.Demands = n.demand.Demands(max(1, len(view.Entries)), time.Now())
		in.Requirements = addDemandedModels(in)
		return in, ix.Revision
	}
	holder := lease.NewHolder(n.opts.Name, n.opts.Log, time.Now, n.opts.Logger)
	return agent.New(holder, source, time.Now, n.opts.Logger).Run(ctx)
}

// defaultConcurrency is the number of calls that share a runner whose pool sets no maxConcurrency.
const defaultConcurrency = 64

// countDemand adds a generation to the demand for its model, with its share of the runner's time.
func (n *Node) countDemand(r task.Request, c exec.Cost) {
	i := slices.IndexFunc(r.Stages, func(st stage.Spec) bool { return st.Name == c.Stage })
	if i < 0 || r.Stages[i].Model == "" {
		return
	}
	st := r.Stages[i]
	share := cmp.Or(r.Pools[st.Pool].MaxConcurrency, defaultConcurrency)
	busy := time.Duration(c.RunnerMs) * time.Millisecond / time.Duration(share)
	n.demand.Count(r.Pipeline.Name, st.Model, busy, time.Now())
}

// addDemandedModels returns the requirements of the preset, and one that names only the model for each further model
// that has demand.
func addDemandedModels(in plan.Input) []plan.Requirement {
	wants := in.Requirements
	for _, d := range in.Demands {
		named := func(w plan.Requirement) bool { return w.Model == d.Model }
		if !slices.ContainsFunc(wants, named) {
			wants = append(wants, plan.Requirement{Model: d.Model})
		}
	}
	return wants
}
