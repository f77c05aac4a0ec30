package runnerhttp

import (
	"context"
	"errors"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// Engine is the control API of the engine at one address.
type Engine struct {
	client *client.Client
}

// EventsReply is the answer to a read of the cache events.
type EventsReply struct {
	Events []runner.CacheEvent `json:"events"`
}

var _ runner.Engine = (*Engine)(nil)

// New returns the engine at an IP:port address.
func New(address string) *Engine { return &Engine{client: client.New(address)} }

// State returns what the engine has loaded.
func (e *Engine) State(ctx context.Context) (runner.State, error) {
	var s runner.State
	if err := e.client.Get(ctx, "/v1/state", &s); err != nil {
		return runner.State{}, upstreamError("state", err)
	}
	return s, nil
}

// Order sets an absolute target; an *upstream.Error with Refused set means that the engine did not accept it.
func (e *Engine) Order(ctx context.Context, o runner.Order) error {
	var taken struct{}
	return upstreamError("order", e.client.Post(ctx, "/v1/order", o, &taken))
}

// CacheEvents returns the cache events after an offset.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]runner.CacheEvent, error) {
	var reply EventsReply
	if err := e.client.Get(ctx, fmt.Sprintf("/v1/cacheEvents?after=%d", after), &reply); err != nil {
		return nil, upstreamError("cacheEvents", err)
	}
	return reply.Events, nil
}

// upstreamError converts an error of the client; op names the failed call. Nil stays nil.
func upstreamError(op string, err error) error {
	if err == nil {
		return nil
	}
	out := &upstream.Error{Op: op, NotSent: !client.IsSent(err), Cause: err}
	var e *client.Error
	if errors.As(err, &e) {
		out.Refused = e.Problem.Code == client.Refused
	}
	return out
}
