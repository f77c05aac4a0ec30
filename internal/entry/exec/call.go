package exec

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// call builds the message of an attempt.
func (s *step) call(ctx context.Context, a *attempt) *sidepb.CallRequest {
	req := s.run.req
	c := &sidepb.CallRequest{
		Id: &sidepb.Identity{
			RequestId:   req.ID,
			Stage:       s.spec.Name,
			Attempt:     a.number,
			Incarnation: a.target.Incarnation,
		},
		Team:        req.Team.Name,
		Pipeline:    req.Pipeline.Name,
		Kind:        string(s.spec.Kind),
		Model:       s.spec.Model,
		Body:        s.body,
		RemainingMs: remaining(ctx).Milliseconds(),
		EstimateMs:  s.run.after(s.index).Milliseconds(),
		Repeatable:  !s.spec.IsAction(),
		Fingerprint: req.Fingerprint,
		Revision:    req.Revision,
		MaxTokens:   maxTokens(req.MaxTokens, s.spec.MaxTokens),
		Held:        held(s.held),
		SizeClass:   string(req.Class()),
		Retries:     s.run.retries,
		Hedge:       a.hedge,
		Alone:       s.run.alone,
		Weight:      req.Weight(),
		Priority:    priority(req.Class()),
	}
	if s.spec.IsAction() {
		c.Action = &sidepb.Action{Key: req.Key, Service: s.spec.Pool, BodyDigest: ident.BodyDigest(req.Input)}
	}
	return c
}

// priority is 0, the most urgent, for short work.
func priority(c pipe.SizeClass) uint32 {
	if c == pipe.Long {
		return 1
	}
	return 0
}

func maxTokens(asked, allowed uint32) uint32 {
	if asked == 0 || (allowed > 0 && asked > allowed) {
		return allowed
	}
	return asked
}

func held(chunks [][]byte) []string {
	out := make([]string, len(chunks))
	for i, c := range chunks {
		out[i] = string(c)
	}
	return out
}
