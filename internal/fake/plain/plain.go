package plain

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// Service runs every call, even one with a key that it has seen, so that repeated actions can be counted.
type Service struct {
	*base.Upstream
	serviceTime time.Duration
	lastReceipt atomic.Int64
}

// Receipt is the answer to a call.
type Receipt struct {
	Marker  string `json:"marker"`
	Key     string `json:"key"`
	Receipt int64  `json:"receipt"`
}

// New returns a service that runs up to concurrency calls at once, each for the service time.
func New(concurrency int, serviceTime time.Duration) *Service {
	return &Service{Upstream: base.New(concurrency), serviceTime: serviceTime}
}

// Call runs the action and returns a Receipt with a new number.
func (s *Service) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	return s.Serve(ctx, c, s.work)
}

func (s *Service) work(ctx context.Context, c upstream.Call, _ func(upstream.Event)) (upstream.Event, error) {
	if err := s.Sleep(ctx, s.serviceTime); err != nil {
		return upstream.Event{}, err
	}
	marker, _ := echo.Marker(c.Body)
	data, err := json.Marshal(Receipt{Marker: marker, Key: c.Key, Receipt: s.lastReceipt.Add(1)})
	return upstream.Event{Data: data, Count: 1}, err
}
