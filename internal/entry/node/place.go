package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/place/agent"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

const (
	// loadTime is how long one load of weights may take at the store's rate, shared by all loads at once.
	loadTime = 2 * time.Minute
	// sizeInterval is how often the sizes of the models are read from the weight store.
	sizeInterval = 5 * time.Minute
)

// place takes part in the choice of a planner, and plans while it is this entry.
func (n *Node) place(ctx context.Context) error {
	if n.o.Weights == nil {
		return nil
	}
	go n.weigh(ctx)
	holder := lease.NewHolder(n.o.Name, n.o.Log, time.Now, n.o.Zap)
	return agent.New(holder, n.planInput, time.Now, n.o.Zap).Run(ctx)
}

func (n *Node) planInput(stream *lease.State) (plan.Input, int64) {
	ix := n.index.Load()
	loads := plan.Loads(n.o.Weights.BytesPerSecond(), n.largest.Load(), loadTime)
	return agent.Input(n.links.View(), ix.Set, stream, loads), ix.Revision
}

// weigh keeps the size of the largest model, which bounds how many loads may run at once.
func (n *Node) weigh(ctx context.Context) {
	for {
		n.largest.Store(n.largestModel(ctx))
		select {
		case <-ctx.Done():
			return
		case <-time.After(sizeInterval):
		}
	}
}

func (n *Node) largestModel(ctx context.Context) int64 {
	largest := n.largest.Load()
	for _, p := range n.index.Load().Set.Pools {
		if p.Kind != pool.Engine {
			continue
		}
		for _, model := range p.Models {
			size, err := n.o.Weights.Size(ctx, model)
			if err != nil {
				n.o.Zap.Warn("weight store does not tell a model's size", zap.String("model", model), zap.Error(err))
				continue
			}
			largest = max(largest, size)
		}
	}
	return largest
}
