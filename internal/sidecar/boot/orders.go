package boot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
)

// runOrders starts sending the engine the orders that bring it to the target of the placement plan.
func (s *Side) runOrders(ctx context.Context) {
	if s.engineOptions.Engine == nil {
		return
	}
	gate := order.New(order.Options{
		Upstream:    s.engineOptions.Name,
		Incarnation: s.engineOptions.Incarnation,
		ChecksFence: s.engineOptions.Pool.ChecksFence,
		Log:         s.log,
		Engine:      s.engineOptions.Engine,
		Now:         time.Now,
		Zap:         s.zap,
	})
	go func() {
		if err := gate.Run(ctx); err != nil {
			s.zap.Error("sending orders to the engine ended", zap.Error(err))
		}
	}()
}

// keepEngineOptions keeps the options for runOrders if the upstream is a model engine, and returns them.
func (s *Side) keepEngineOptions(o serve.Options) serve.Options {
	if o.Pool.Kind == pool.Engine {
		s.engineOptions = o
	}
	return o
}
