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
	askTimeout = 2 * time.Second
	maxTries   = 8 // to find a side of one service that answers
	tryPause   = 200 * time.Millisecond
	unknown    = "unknown" // state of a key that no record names
)

// Query implements front.Outcomes.
type Query struct {
	index  func() *index.Index
	router target.Router
}

// New returns a query over the configuration in force.
func New(ix func() *index.Index, r target.Router) *Query { return &Query{index: ix, router: r} }

// Outcome asks about a team's key on one service, or on all with an empty service.
func (q *Query) Outcome(ctx context.Context, team, service, key string) (front.Outcome, *fault.Error) {
	services := q.Services()
	if service != "" {
		if !slices.Contains(services, service) {
			return front.Outcome{}, fault.New(fault.NotRun, fault.NotFound, "there is no service %q", service)
		}
		services = []string{service}
	}
	out := front.Outcome{Key: key, State: unknown, Verdict: fault.NotRun}
	for _, name := range services {
		found, err := first(ctx, q, name, func(ctx context.Context, side sidepb.SideClient) (*sidepb.OutcomeReply, error) {
			return side.Outcome(ctx, &sidepb.OutcomeRequest{Team: team, Service: name, Key: key})
		})
		if err != nil {
			return front.Outcome{}, err
		}
		if found.GetState() != unknown {
			return outcome(key, name, found), nil
		}
		out.Service = name
		out.Verdict = fault.Verdict(found.GetVerdict())
	}
	return out, nil
}

// Settle records an operator's decision about an action.
func (q *Query) Settle(ctx context.Context, req *sidepb.SettleRequest) (front.Outcome, *fault.Error) {
	found, err := first(ctx, q, req.GetService(), func(ctx context.Context, side sidepb.SideClient) (*sidepb.OutcomeReply, error) {
		return side.Settle(ctx, req)
	})
	if err != nil {
		return front.Outcome{}, err
	}
	return outcome(req.GetKey(), req.GetService(), found), nil
}

// InDoubt lists the actions of one service that nobody can tell of, at most limit of them.
func (q *Query) InDoubt(ctx context.Context, service string, limit uint32) (*sidepb.DoubtsReply, *fault.Error) {
	return first(ctx, q, service, func(ctx context.Context, side sidepb.SideClient) (*sidepb.DoubtsReply, error) {
		return side.Doubts(ctx, &sidepb.DoubtsRequest{Limit: limit})
	})
}

// first asks the sides of a service until one answers; while none can be reached it waits a little.
func first[T any](ctx context.Context, q *Query, service string, ask func(context.Context, sidepb.SideClient) (*T, error)) (*T, *fault.Error) {
	var avoid []string
	var last error
	for range maxTries {
		t, err := q.router.Route(target.Query{Request: "outcome", Stage: "outcome", Pool: service, Avoid: avoid})
		if err != nil {
			last = errors.Join(last, err)
			avoid = nil
			if !pause(ctx) {
				break
			}
			continue
		}
		avoid = append(avoid, t.Name)
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		reply, err := ask(askCtx, t.Side)
		cancel()
		t.Done(target.Report{})
		if err == nil {
			return reply, nil
		}
		if f := refused(err); f != nil {
			return nil, f
		}
		last = errors.Join(last, fmt.Errorf("side of %s: %w", t.Name, err))
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fault.New(fault.MayHaveRun, fault.Transport, "no side of service %q answers: %v", service, last)
}

// pause waits between two tries; false means that ctx ended.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(tryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// Services are the pools of plain services, by name.
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

func outcome(key, service string, r *sidepb.OutcomeReply) front.Outcome {
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
