package weight

import "context"

// Store holds the weights of models; its bandwidth is limited and shared.
type Store interface {
	// Size returns the size of a model's weights, in bytes.
	Size(ctx context.Context, model string) (int64, error)
	// BytesPerSecond is the rate limit that all loads share.
	BytesPerSecond() int64
}
