package boot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
)

// takeOrders starts what brings a model engine to the target of the placement plan.
func (s *Side) takeOrders(ctx context.Context) {
	if s.engine.Engine == nil {
		return
	}
	gate := order.New(order.Options{
		Upstream:    s.engine.Name,
		Incarnation: s.engine.Incarnation,
		ChecksFence: s.engine.Pool.ChecksFence,
		Log:         s.log,
		Engine:      s.engine.Engine,
		Now:         time.Now,
		Zap:         s.zap,
	})
	go func() {
		if err := gate.Run(ctx); err != nil {
			s.zap.Error("no more orders to the engine", zap.Error(err))
		}
	}()
}

// remember keeps the options of a side beside a model engine.
func (s *Side) remember(o serve.Options) serve.Options {
	if o.Pool.Kind == pool.Engine {
		s.engine = o
	}
	return o
}
