package boot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/place/order"
)

// order brings the engine to its target in the placement plan until ctx ends or a newer side has the seat.
func (s *Side) order(ctx context.Context) {
	spec, ok := s.declared(s.feed.Current())
	if !ok || spec.Kind != pool.Engine {
		return
	}
	gate := order.New(order.Options{
		Upstream:    s.settings.Name,
		Incarnation: s.incarnation,
		ChecksFence: spec.ChecksFence,
		Log:         s.log,
		Engine:      s.engine,
		Now:         time.Now,
		Zap:         s.zap,
	})
	if err := gate.Run(ctx); err != nil {
		s.zap.Warn("no more orders to the engine", zap.Error(err))
	}
}
