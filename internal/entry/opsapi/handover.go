package opsapi

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/report"
)

// maxInDoubt is the maximum number of in-doubt actions of one service in a handover report.
const maxInDoubt = 100

// handover returns the report for the next shift of operators: what is in force, and all open problems.
func (a *API) handover(r *http.Request, _ noBody) (report.Report, *fault.Error) {
	now := time.Now()
	in := report.Input{
		Now:         now,
		Process:     a.opts.Name,
		State:       a.opts.Feed.Current(),
		LogReadAt:   a.opts.Feed.Fresh(),
		Upstreams:   a.impairedUpstreams(now),
		Quarantined: quarantinedMarks(a.opts.Marks.Load(), now),
		Actions:     a.inDoubtActions(r.Context(), now),
		Unsettled:   a.unsettledPublishes(),
	}
	if err := a.opts.Guard.Ready(); err != nil {
		in.NotReady = err.Error()
	}
	if a.opts.Versions != nil {
		in.Versions = a.opts.Versions(r.Context())
	}
	return report.New(in), nil
}

// unsettledPublishes lists the publishes of this entry whose results are unknown because the answers were lost.
func (a *API) unsettledPublishes() []report.UnsettledPublish {
	var out []report.UnsettledPublish
	for _, p := range a.opts.Publisher.Unsettled() {
		out = append(out, report.UnsettledPublish{Nonce: p.Nonce, Author: p.Author, Since: p.Since})
	}
	return out
}

// impairedUpstreams lists the upstreams that get no or fewer calls from this entry: draining, suspect and ejected ones.
func (a *API) impairedUpstreams(now time.Time) []report.Upstream {
	v := a.opts.Links.View()
	states := map[member.State]report.UpstreamState{member.Leaving: report.Draining, member.Suspect: report.Suspect}
	var out []report.Upstream
	for _, ups := range v.Pools {
		for _, u := range ups {
			if state, ok := states[u.State]; ok {
				out = append(out, report.Upstream{
					Name: u.Name, Pool: u.Pool, Zone: u.Zone, State: state, Since: u.LoadAt, Reason: string(u.Reason),
				})
			}
		}
	}
	for _, name := range a.ejected() {
		u, _ := v.Upstream(name)
		out = append(out, report.Upstream{
			Name: name, Pool: u.Pool, Zone: u.Zone, State: report.Ejected, Since: now, Reason: "failed calls of this entry",
		})
	}
	return out
}

// ejected returns the upstreams that this entry has ejected.
func (a *API) ejected() []string {
	if a.opts.Ejected == nil {
		return nil
	}
	return a.opts.Ejected()
}

// quarantinedMarks returns the marks of s that are in quarantine, without the suspects.
func quarantinedMarks(s *poison.Set, now time.Time) []report.Mark {
	var out []report.Mark
	for _, e := range s.List(now) {
		if e.State == poison.Quarantined {
			out = append(out, report.Mark{Fingerprint: e.Fingerprint, Crashes: e.Crashes, Until: e.Expires})
		}
	}
	return out
}

// inDoubtActions lists the actions of each service that may have run. A service that does not answer is listed as an
// action with an unknown key.
func (a *API) inDoubtActions(ctx context.Context, now time.Time) []report.Action {
	var out []report.Action
	for _, service := range a.opts.Actions.Services() {
		reply, err := a.opts.Actions.InDoubt(ctx, service, maxInDoubt)
		if err != nil {
			out = append(out, report.Action{Key: "(unknown)", Service: service, Since: now, Reason: err.Error()})
			continue
		}
		for _, d := range reply.GetDoubts() {
			out = append(out, report.Action{
				Key:     d.GetKey(),
				Service: service,
				Since:   time.UnixMilli(d.GetMintedUnixMs()),
				Reason:  fmt.Sprintf("team %s, claimed by %s", d.GetTeam(), d.GetOwner()),
			})
		}
		if more := int(reply.GetTotal()) - len(reply.GetDoubts()); more > 0 {
			out = append(out, report.Action{Key: fmt.Sprintf("(%d more)", more), Service: service, Since: now})
		}
	}
	return out
}
