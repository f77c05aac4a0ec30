package plain

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/fake/unit"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// Service does what each call says, also for a key that it has seen.
type Service struct {
	*unit.Unit
	service time.Duration
	receipt atomic.Int64
}

// Receipt is the answer to a call.
type Receipt struct {
	Marker  string `json:"marker"`
	Key     string `json:"key"`
	Receipt int64  `json:"receipt"`
}

// New returns a service that takes a service time for each call.
func New(concurrency int, service time.Duration) *Service {
	return &Service{Unit: unit.New(concurrency), service: service}
}

// Call does the action and returns a receipt with a new number.
func (s *Service) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	return s.Serve(ctx, c, s.work)
}

func (s *Service) work(ctx context.Context, c upstream.Call, _ func(upstream.Event)) (upstream.Event, error) {
	if err := s.Sleep(ctx, s.service); err != nil {
		return upstream.Event{}, err
	}
	marker, _ := echo.Marker(c.Body)
	data, err := json.Marshal(Receipt{Marker: marker, Key: c.Key, Receipt: s.receipt.Add(1)})
	return upstream.Event{Data: data, Count: 1}, err
}
