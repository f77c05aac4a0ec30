package exec

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// newCallRequest builds the request message of an attempt.
func (s *stageRun) newCallRequest(ctx context.Context, a *attempt) *sidepb.CallRequest {
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
		RemainingMs: untilDeadline(ctx).Milliseconds(),
		EstimateMs:  s.run.laterEstimate(s.index).Milliseconds(),
		Repeatable:  !s.spec.IsAction(),
		Fingerprint: req.Fingerprint,
		Revision:    req.Revision,
		MaxTokens:   maxTokens(req.MaxTokens, s.spec.MaxTokens),
		Held:        tokenStrings(s.resumeTokens),
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

// priority is 0, the highest, for requests of the short class and 1 for long ones.
func priority(c pipe.SizeClass) uint32 {
	if c == pipe.Long {
		return 1
	}
	return 0
}

// maxTokens is the requested number of tokens, at most limit; 0 means unset in both.
func maxTokens(requested, limit uint32) uint32 {
	if requested == 0 || (limit > 0 && requested > limit) {
		return limit
	}
	return requested
}

// tokenStrings converts tokens to the type of the request message.
func tokenStrings(chunks [][]byte) []string {
	out := make([]string, len(chunks))
	for i, c := range chunks {
		out[i] = string(c)
	}
	return out
}
