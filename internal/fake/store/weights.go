package store

import (
	"context"
	"fmt"
)

// Weights is a weight store with fixed model sizes and one rate limit.
type Weights struct {
	sizes     map[string]int64 // bytes by model
	rateLimit int64            // bytes per second
}

// New returns a store with the sizes of models in bytes and a rate limit in bytes per second.
func New(sizes map[string]int64, bytesPerSecond int64) *Weights {
	return &Weights{sizes: sizes, rateLimit: bytesPerSecond}
}

// Size returns the size of a model's weights in bytes, or an error if the store has no such model.
func (w *Weights) Size(_ context.Context, model string) (int64, error) {
	size, ok := w.sizes[model]
	if !ok {
		return 0, fmt.Errorf("weight store has no model %q", model)
	}
	return size, nil
}

// BytesPerSecond returns the rate limit of the store.
func (w *Weights) BytesPerSecond() int64 { return w.rateLimit }
