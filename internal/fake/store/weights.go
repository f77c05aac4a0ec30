package store

import (
	"context"
	"fmt"
)

// Weights knows the sizes of models and one rate limit.
type Weights struct {
	sizes map[string]int64
	rate  int64
}

// New returns a store of models by size in bytes, with a limit in bytes a second.
func New(sizes map[string]int64, bytesPerSecond int64) *Weights {
	return &Weights{sizes: sizes, rate: bytesPerSecond}
}

// Size returns the size of a model's weights, in bytes.
func (w *Weights) Size(_ context.Context, model string) (int64, error) {
	size, ok := w.sizes[model]
	if !ok {
		return 0, fmt.Errorf("weight store has no model %q", model)
	}
	return size, nil
}

// BytesPerSecond is the rate limit of the store.
func (w *Weights) BytesPerSecond() int64 { return w.rate }
