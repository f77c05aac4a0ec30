package agent

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

const (
	// maxLoadTime is how long a load may take while others share the weight store's bandwidth.
	maxLoadTime = 2 * time.Minute
	// sizesTTL is how long the sizes of models are cached.
	sizesTTL = 10 * time.Minute
	// sizeTimeout bounds one size lookup in the weight store, and is the delay before a failed one is retried.
	sizeTimeout = 2 * time.Second
)

// LoadLimit computes how many loads may run concurrently. It is not safe for concurrent use.
type LoadLimit struct {
	store     weight.Store
	now       func() time.Time
	largest   int64 // bytes; 0 while unknown
	refreshAt time.Time
}

// NewLoadLimit returns a limit that has not looked up any sizes yet.
func NewLoadLimit(store weight.Store, now func() time.Time) *LoadLimit {
	return &LoadLimit{store: store, now: now}
}

// Max returns how many concurrent loads of the largest model fit the store's bandwidth, or 1 while the store does not
// answer. The keys of models are their names.
func (l *LoadLimit) Max(ctx context.Context, models map[string]int) int {
	if !l.now().Before(l.refreshAt) {
		l.refresh(ctx, models)
	}
	return plan.ConcurrentLoads(l.store.BytesPerSecond(), l.largest, maxLoadTime)
}

// refresh looks up the largest size of the models.
func (l *LoadLimit) refresh(ctx context.Context, models map[string]int) {
	l.largest = 0
	l.refreshAt = l.now().Add(sizesTTL)
	for model := range models {
		callCtx, cancel := context.WithTimeout(ctx, sizeTimeout)
		size, err := l.store.Size(callCtx, model)
		cancel()
		if err != nil {
			l.largest = 0
			l.refreshAt = l.now().Add(sizeTimeout)
			return
		}
		l.largest = max(l.largest, size)
	}
}
