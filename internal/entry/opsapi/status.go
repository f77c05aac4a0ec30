package opsapi

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

// status returns the state of this entry. It also answers when the entry is not ready, with the reason.
func (a *API) status(*http.Request, noBody) (admin.Status, *fault.Error) {
	s := a.opts.Feed.Current()
	out := admin.Status{
		Entry:    a.opts.Name,
		Zone:     a.opts.Zone,
		Ready:    true,
		Draining: a.opts.Guard.Draining(),
		InFlight: a.opts.Guard.InFlight(),
		Preset:   s.PresetInForce().Name,
		Revision: s.Revision(),
		Offset:   s.Offset(),
		Digest:   s.Digest(),
		LogAgeMs: -1,
		Pools:    poolStatuses(a.opts.Links.View()),
		Marks:    len(a.opts.Marks.Load().List(time.Now())),
	}
	if err := a.opts.Guard.Ready(); err != nil {
		out.Ready, out.NotReady = false, err.Error()
	}
	if fresh := a.opts.Feed.Fresh(); !fresh.IsZero() {
		out.LogAgeMs = time.Since(fresh).Milliseconds()
	}
	return out, nil
}

// poolStatuses returns the pools sorted by name, with the state and load of their upstreams.
func poolStatuses(v member.View) []admin.PoolStatus {
	out := []admin.PoolStatus{}
	for _, name := range slices.Sorted(maps.Keys(v.Pools)) {
		p := admin.PoolStatus{Pool: name}
		for _, u := range v.Pools[name] {
			p.Upstreams = append(p.Upstreams, admin.UpstreamStatus{
				Name:    u.Name,
				Zone:    u.Zone,
				State:   string(u.State),
				Reason:  string(u.Reason),
				Linked:  u.Connected,
				Running: u.Load.GetRunning(),
				Queued:  u.Load.GetQueued(),
				Limit:   u.Load.GetLimit(),
			})
		}
		out = append(out, p)
	}
	return out
}
