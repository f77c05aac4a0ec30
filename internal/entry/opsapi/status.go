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

// status answers also when the entry is not ready, and says why.
func (a *API) status(*http.Request, nothing) (admin.Status, *fault.Error) {
	s := a.o.Feed.Current()
	out := admin.Status{
		Entry:    a.o.Name,
		Zone:     a.o.Zone,
		Ready:    true,
		Draining: a.o.Guard.Draining(),
		InFlight: a.o.Guard.InFlight(),
		Preset:   s.PresetSince().Name,
		Revision: s.Revision(),
		Offset:   s.Offset(),
		Digest:   s.Digest(),
		LogAgeMs: -1,
		Pools:    pools(a.o.Links.View()),
		Marks:    len(a.o.Marks.Load().List(time.Now())),
	}
	if err := a.o.Guard.Ready(); err != nil {
		out.Ready, out.NotReady = false, err.Error()
	}
	if fresh := a.o.Feed.Fresh(); !fresh.IsZero() {
		out.LogAgeMs = time.Since(fresh).Milliseconds()
	}
	return out, nil
}

func pools(v member.View) []admin.PoolStatus {
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
