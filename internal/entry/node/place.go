package node

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/agent"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// place runs the planner; without a weight store there is none.
func (n *Node) place(ctx context.Context) error {
	if n.o.Weights == nil {
		return nil
	}
	weights := agent.NewWeights(n.o.Weights, time.Now)
	source := func(stream *lease.State) (plan.Input, int64) {
		ix := n.index.Load()
		preset, _ := ix.Set.Preset()
		return agent.Input(n.links.View(), ix.Set, stream, weights.Loads(ctx, preset.Runners)), ix.Revision
	}
	holder := lease.NewHolder(n.o.Name, n.o.Log, time.Now, n.o.Zap)
	return agent.New(holder, source, time.Now, n.o.Zap).Run(ctx)
}
