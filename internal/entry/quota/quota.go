package quota

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/limit/share"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// Quota limits the request rates of teams; it is safe for concurrent use.
type Quota struct {
	limiter *share.Limiter
}

// New returns a quota without limits.
func New() *Quota { return &Quota{limiter: share.New()} }

// SetLimits applies the rate limits of a configuration; entries is the number of entries that share them.
func (q *Quota) SetLimits(set config.Set, entries int, now time.Time) {
	p, _ := set.Preset()
	limits := make(map[string]float64, len(set.Teams))
	for name, t := range set.Teams {
		if limit := rateLimit(t, p); limit > 0 {
			limits[name] = limit
		}
	}
	q.limiter.Set(limits, entries, now)
}

// rateLimit returns a team's limit in requests per second; 0 without one. The team's own limit comes before its share
// of the preset's limit, and the preset's share for the team before the team's default share.
func rateLimit(t team.Spec, p preset.Spec) float64 {
	if t.RatePerSecond > 0 {
		return t.RatePerSecond
	}
	part, ok := p.Shares[t.Name]
	if !ok {
		part = t.Share
	}
	return part * p.RatePerSecond
}

// Allow counts a request against its team's limit; if the team is over it, the verdict of the error is NotRun.
func (q *Quota) Allow(r task.Request, now time.Time) *fault.Error {
	ok, wait := q.limiter.Allow(r.Team.Name, now)
	if ok {
		return nil
	}
	return fault.New(fault.NotRun, fault.OverLimit, "team %q is over its share", r.Team.Name).WithRetryAfter(wait)
}

// Offer returns the teams' demand to send to a peer.
func (q *Quota) Offer(now time.Time) []*peerpb.Demand { return toProto(q.limiter.Offer(now)) }

// Answer averages the demand with a peer's offer and returns the corrections for the peer.
func (q *Quota) Answer(in []*peerpb.Demand, now time.Time) []*peerpb.Demand {
	return toProto(q.limiter.Answer(fromProto(in), now))
}

// Settle applies the corrections in a peer's answer.
func (q *Quota) Settle(in []*peerpb.Demand, now time.Time) { q.limiter.Apply(fromProto(in), now) }

// toProto converts demands to messages; the previous mean is the field Earlier there.
func toProto(demands []share.TeamDemand) []*peerpb.Demand {
	out := make([]*peerpb.Demand, len(demands))
	for i, d := range demands {
		out[i] = &peerpb.Demand{Team: d.Team, Epoch: d.Epoch, Mean: d.Mean, Earlier: d.Previous}
	}
	return out
}

// fromProto reverses toProto.
func fromProto(in []*peerpb.Demand) []share.TeamDemand {
	out := make([]share.TeamDemand, len(in))
	for i, d := range in {
		out[i] = share.TeamDemand{Team: d.GetTeam(), Epoch: d.GetEpoch(), Mean: d.GetMean(), Previous: d.GetEarlier()}
	}
	return out
}
