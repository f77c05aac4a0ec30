package query

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	queryTimeout  = 2 * time.Second        // of one call of a side
	maxAttempts   = 8                      // of askAny; one that finds no side to call counts too
	retryInterval = 200 * time.Millisecond // pause while no side is available
	stateUnknown  = "unknown"              // state of a key that has no record
)

// Query queries and settles actions through sides; it implements front.Outcomes.
type Query struct {
	index  func() *index.Index
	router target.Router
}

// New returns a Query that uses the configuration in force.
func New(ix func() *index.Index, r target.Router) *Query { return &Query{index: ix, router: r} }

// Outcome returns the outcome of a team's key on one service, or on any if service is empty.
func (q *Query) Outcome(ctx context.Context, team, service, key string) (front.Outcome, *fault.Error) {
	services := q.Services()
	if service != "" {
		if !slices.Contains(services, service) {
			return front.Outcome{}, fault.New(fault.NotRun, fault.NotFound, "there is no service %q", service)
		}
		services = []string{service}
	}
	out := front.Outcome{Key: key, State: stateUnknown, Verdict: fault.NotRun}
	for _, name := range services {
		found, err := askAny(ctx, q, name, func(ctx context.Context, side sidepb.SideClient) (*sidepb.OutcomeReply, error) {
			return side.Outcome(ctx, &sidepb.OutcomeRequest{Team: team, Service: name, Key: key})
		})
		if err != nil {
			return front.Outcome{}, err
		}
		if found.GetState() != stateUnknown {
			return toOutcome(key, name, found), nil
		}
		out.Service = name
		out.Verdict = fault.Verdict(found.GetVerdict())
	}
	return out, nil
}

// Settle records an operator's decision about the outcome of an action.
func (q *Query) Settle(ctx context.Context, req *sidepb.SettleRequest) (front.Outcome, *fault.Error) {
	found, err := askAny(ctx, q, req.GetService(), func(ctx context.Context, side sidepb.SideClient) (*sidepb.OutcomeReply, error) {
		return side.Settle(ctx, req)
	})
	if err != nil {
		return front.Outcome{}, err
	}
	return toOutcome(req.GetKey(), req.GetService(), found), nil
}

// InDoubt lists up to limit actions of one service whose outcome is in doubt.
func (q *Query) InDoubt(ctx context.Context, service string, limit uint32) (*sidepb.DoubtsReply, *fault.Error) {
	return askAny(ctx, q, service, func(ctx context.Context, side sidepb.SideClient) (*sidepb.DoubtsReply, error) {
		return side.Doubts(ctx, &sidepb.DoubtsRequest{Limit: limit})
	})
}

// askAny calls the sides of a service until one answers, up to maxAttempts times. If no side is available, it waits for
// retryInterval and then tries all sides again.
func askAny[T any](ctx context.Context, q *Query, service string, ask func(context.Context, sidepb.SideClient) (*T, error)) (*T, *fault.Error) {
	var avoid []string
	var last error
	for range maxAttempts {
		t, err := q.router.Route(target.Query{Request: "outcome", Stage: "outcome", Pool: service, Avoid: avoid})
		if err != nil {
			last = errors.Join(last, err)
			avoid = nil
			if !waitRetry(ctx) {
				break
			}
			continue
		}
		avoid = append(avoid, t.Name)
		askCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		reply, err := ask(askCtx, t.Side)
		cancel()
		t.Done(target.Report{})
		if err == nil {
			return reply, nil
		}
		if f := finalError(err); f != nil {
			return nil, f
		}
		last = errors.Join(last, fmt.Errorf("side of %s: %w", t.Name, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fault.New(fault.MayHaveRun, fault.Transport, "no side of service %q answers: %v", service, last)
}

// waitRetry waits for retryInterval; false means that ctx is done.
func waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// Services returns the sorted names of the pools of plain services.
func (q *Query) Services() []string {
	var out []string
	for name, p := range q.index().Set.Pools {
		if p.Kind == pool.Service {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// toOutcome converts a side's reply about a key to the form that callers receive.
func toOutcome(key, service string, r *sidepb.OutcomeReply) front.Outcome {
	return front.Outcome{
		Key:     key,
		Service: service,
		State:   r.GetState(),
		Verdict: fault.Verdict(r.GetVerdict()),
		Answer:  r.GetAnswer(),
		Author:  r.GetAuthor(),
		Reason:  r.GetReason(),
	}
}
