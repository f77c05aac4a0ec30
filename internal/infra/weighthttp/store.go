package weighthttp

import (
	"context"
	"net/url"
	"sync/atomic"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
)

// Store is the weight store at one address.
type Store struct {
	client *client.Client
	rate   atomic.Int64
}

// Reply describes a model in the store.
type Reply struct {
	SizeBytes      int64 `json:"sizeBytes"`
	BytesPerSecond int64 `json:"bytesPerSecond"`
}

var _ weight.Store = (*Store)(nil)

// New returns the store at an IP:port address; bytesPerSecond is its rate limit until the store reports another.
func New(address string, bytesPerSecond int64) *Store {
	s := &Store{client: client.New(address)}
	s.rate.Store(bytesPerSecond)
	return s
}

// Size returns the size of a model's weights, in bytes.
func (s *Store) Size(ctx context.Context, model string) (int64, error) {
	var reply Reply
	if err := s.client.Get(ctx, "/v1/models/"+url.PathEscape(model), &reply); err != nil {
		return 0, err
	}
	if reply.BytesPerSecond > 0 {
		s.rate.Store(reply.BytesPerSecond)
	}
	return reply.SizeBytes, nil
}

// BytesPerSecond returns the rate limit that the store reported last.
func (s *Store) BytesPerSecond() int64 { return s.rate.Load() }
