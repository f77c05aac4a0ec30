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

// maxDoubts bounds the actions of one service that a handover lists.
const maxDoubts = 100

// handover tells exactly what is in force, and what the next pair must know.
func (a *API) handover(r *http.Request, _ nothing) (report.Report, *fault.Error) {
	now := time.Now()
	in := report.Input{
		Now:         now,
		Process:     a.o.Name,
		State:       a.o.Feed.Current(),
		LogReadAt:   a.o.Feed.Fresh(),
		Upstreams:   a.troubled(now),
		Quarantined: quarantined(a.o.Marks.Load(), now),
		Actions:     a.doubts(r.Context(), now),
		Unsettled:   a.unsettled(),
	}
	if err := a.o.Guard.Ready(); err != nil {
		in.NotReady = err.Error()
	}
	if a.o.Versions != nil {
		in.Versions = a.o.Versions(r.Context())
	}
	return report.New(in), nil
}

// unsettled lists the publishes of this entry whose answers were lost.
func (a *API) unsettled() []report.UnsettledPublish {
	var out []report.UnsettledPublish
	for _, p := range a.o.Publisher.Unsettled() {
		out = append(out, report.UnsettledPublish{Nonce: p.Nonce, Author: p.Author, Since: p.Since})
	}
	return out
}

// troubled lists the upstreams that get no or less work, as this entry sees them.
func (a *API) troubled(now time.Time) []report.Upstream {
	v := a.o.Links.View()
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

func (a *API) ejected() []string {
	if a.o.Ejected == nil {
		return nil
	}
	return a.o.Ejected()
}

func quarantined(s *poison.Set, now time.Time) []report.Mark {
	var out []report.Mark
	for _, e := range s.List(now) {
		if e.State == poison.Quarantined {
			out = append(out, report.Mark{Fingerprint: e.Fingerprint, Crashes: e.Crashes, Until: e.Expires})
		}
	}
	return out
}

// doubts asks each service for its actions that may have run; one that does not answer is listed too.
func (a *API) doubts(ctx context.Context, now time.Time) []report.Action {
	var out []report.Action
	for _, service := range a.o.Actions.Services() {
		reply, err := a.o.Actions.Doubts(ctx, service, maxDoubts)
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
