package member

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
)

// Member is a stand-in for one upstream of a stage pool.
type Member struct {
	*base.Upstream
	serviceTime time.Duration
}

// New returns a member that runs up to concurrency calls at once, each for the service time.
func New(concurrency int, serviceTime time.Duration) *Member {
	return &Member{Upstream: base.New(concurrency), serviceTime: serviceTime}
}

// Call returns the stage's result in one event.
func (m *Member) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	return m.Serve(ctx, c, m.work)
}

func (m *Member) work(ctx context.Context, c upstream.Call, _ func(upstream.Event)) (upstream.Event, error) {
	if err := m.Sleep(ctx, m.serviceTime); err != nil {
		return upstream.Event{}, err
	}
	data, err := json.Marshal(Answer(c.Kind, c.Body))
	return upstream.Event{Data: data, Count: 1}, err
}

// Result is the result of a stage; the stage's kind determines which fields are set.
type Result struct {
	Marker    string    `json:"marker"`
	Vector    []float64 `json:"vector,omitempty"`
	Documents []string  `json:"documents,omitempty"`
	Scores    []float64 `json:"scores,omitempty"`
}

// Answer returns the result of a stage, which is a function of its kind and input alone.
func Answer(kind string, body []byte) Result {
	const size = 4
	marker, _ := echo.Marker(body)
	r := Result{Marker: marker}
	for i := range size {
		h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", kind, body, i))
		score := float64(h%1000) / 1000
		switch stage.Kind(kind) {
		case stage.Encode:
			r.Vector = append(r.Vector, score)
		case stage.Rerank:
			r.Scores = append(r.Scores, score)
			r.Documents = append(r.Documents, fmt.Sprintf("document-%d", h%97))
		default:
			r.Documents = append(r.Documents, fmt.Sprintf("document-%d", h%97))
		}
	}
	return r
}
