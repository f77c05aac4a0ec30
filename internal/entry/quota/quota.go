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

// Quota is safe for concurrent use.
type Quota struct {
	bucket *share.Limiter
}

// New returns a quota without limits.
func New() *Quota { return &Quota{bucket: share.New()} }

// SetLimits sets the limits of a configuration, shared among so many entries.
func (q *Quota) SetLimits(set config.Set, entries int, now time.Time) {
	p, _ := set.Preset()
	limits := make(map[string]float64, len(set.Teams))
	for name, t := range set.Teams {
		if limit := rate(t, p); limit > 0 {
			limits[name] = limit
		}
	}
	q.bucket.Set(limits, entries, now)
}

// rate is a team's limit in requests a second; 0 without one.
func rate(t team.Spec, p preset.Spec) float64 {
	if t.RatePerSecond > 0 {
		return t.RatePerSecond
	}
	part, ok := p.Shares[t.Name]
	if !ok {
		part = t.Share
	}
	return part * p.RatePerSecond
}

// Allow takes a request from its team's share; its error's verdict is NotRun.
func (q *Quota) Allow(r task.Request, now time.Time) *fault.Error {
	ok, wait := q.bucket.Allow(r.Team.Name, now)
	if ok {
		return nil
	}
	return fault.New(fault.NotRun, fault.OverLimit, "team %q is over its share", r.Team.Name).WithRetryAfter(wait)
}

// Offer returns what to tell a peer of the teams' demand.
func (q *Quota) Offer(now time.Time) []*peerpb.Demand { return wire(q.bucket.Offer(now)) }

// Answer takes a peer's offer and returns what it must add to its own.
func (q *Quota) Answer(in []*peerpb.Demand, now time.Time) []*peerpb.Demand {
	return wire(q.bucket.Answer(rows(in), now))
}

// Settle takes a peer's answer.
func (q *Quota) Settle(in []*peerpb.Demand, now time.Time) { q.bucket.Apply(rows(in), now) }

func wire(rows []share.TeamDemand) []*peerpb.Demand {
	out := make([]*peerpb.Demand, len(rows))
	for i, r := range rows {
		out[i] = &peerpb.Demand{Team: r.Team, Epoch: r.Epoch, Mean: r.Mean, Earlier: r.Previous}
	}
	return out
}

func rows(in []*peerpb.Demand) []share.TeamDemand {
	out := make([]share.TeamDemand, len(in))
	for i, d := range in {
		out[i] = share.TeamDemand{Team: d.GetTeam(), Epoch: d.GetEpoch(), Mean: d.GetMean(), Previous: d.GetEarlier()}
	}
	return out
}
