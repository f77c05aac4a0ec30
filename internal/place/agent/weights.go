package agent

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

const (
	// loadWithin is how long a load may take while others share the weight store's rate.
	loadWithin = 2 * time.Minute
	// sizesFor is how long the sizes of models are kept.
	sizesFor = 10 * time.Minute
	// sizeTimeout bounds one question to the weight store.
	sizeTimeout = 2 * time.Second
)

// LoadLimit says how many loads may run at once; one goroutine uses it.
type LoadLimit struct {
	store   weight.Store
	now     func() time.Time
	largest int64 // bytes; 0 while unknown
	askAt   time.Time
}

// NewLoadLimit returns a limit that has asked nothing yet.
func NewLoadLimit(store weight.Store, now func() time.Time) *LoadLimit {
	return &LoadLimit{store: store, now: now}
}

// Max is how many loads of the largest of the models the store bears at once; one while the store does not answer.
func (w *LoadLimit) Max(ctx context.Context, models map[string]int) int {
	if !w.now().Before(w.askAt) {
		w.ask(ctx, models)
	}
	return plan.ConcurrentLoads(w.store.BytesPerSecond(), w.largest, loadWithin)
}

func (w *LoadLimit) ask(ctx context.Context, models map[string]int) {
	w.largest = 0
	w.askAt = w.now().Add(sizesFor)
	for model := range models {
		callCtx, cancel := context.WithTimeout(ctx, sizeTimeout)
		size, err := w.store.Size(callCtx, model)
		cancel()
		if err != nil {
			w.largest = 0
			w.askAt = w.now().Add(sizeTimeout)
			return
		}
		w.largest = max(w.largest, size)
	}
}
