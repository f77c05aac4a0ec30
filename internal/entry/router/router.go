package router

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/route/affinity"
	"github.com/ragworthatch/ragworthatch/internal/route/eject"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
	"github.com/ragworthatch/ragworthatch/internal/route/pick"
	"github.com/ragworthatch/ragworthatch/internal/route/spill"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// noUpstreamRetryAfter is the Retry-After time of requests for which there is no upstream.
const noUpstreamRetryAfter = time.Second

// Links are the connections to the sides.
type Links interface {
	Client(name string) (sidepb.SideClient, bool)
	// Suspect reports a connection that went silent.
	Suspect(name string)
	// Leaving reports an upstream that is draining, by its load report or by refusing a call.
	Leaving(name, incarnation string)
}

// Options are the dependencies of a Router.
type Options struct {
	Zone  string
	Links Links
	Rand  *rand.Rand
	Log   *zap.Logger
	Now   func() time.Time
}

// Router implements target.Router; only the control goroutine calls Update.
type Router struct {
	opts     Options
	picker   *pick.Picker
	spill    *spill.Cap
	affinity *affinity.Map
	pools    atomic.Pointer[map[string]*pool]

	// Only the control goroutine uses the fields below.
	states    map[string]*upstreamState // by upstream
	ejections map[string]*eject.Table
}

// pool is the snapshot of one pool's upstreams.
type pool struct {
	set          *pick.Set
	incarnations []string // by index of set
	ejected      *eject.Table
}

// upstreamState is the state of an upstream that is kept from one snapshot to the next.
type upstreamState struct {
	incarnation string
	restartedAt time.Time
	gauge       *gauge.Gauge
}

// New returns a router without upstreams.
func New(o Options) *Router {
	r := &Router{
		opts:      o,
		spill:     spill.New(0),
		affinity:  affinity.New(affinity.Options{}),
		states:    map[string]*upstreamState{},
		ejections: map[string]*eject.Table{},
	}
	r.picker = pick.New(o.Rand, pick.Options{Spill: r.spill, Affinity: r.affinity})
	r.pools.Store(&map[string]*pool{})
	return r
}

// Update publishes a snapshot of view under a preset. Upstreams in its maintenance zones get no new calls.
func (r *Router) Update(view member.View, p preset.Spec) {
	now := r.opts.Now()
	r.spill.Set(p.SpillCap)
	r.forget(view)
	pools := make(map[string]*pool, len(view.Pools))
	for name := range view.Pools {
		pools[name] = r.snapshot(name, r.connected(view.Usable(name)), p.MaintenanceZones, now)
	}
	r.pools.Store(&pools)
}

// forget drops the state of upstreams that are no longer in view.
func (r *Router) forget(view member.View) {
	for name := range r.states {
		if _, known := view.Upstream(name); known {
			continue
		}
		delete(r.states, name)
		for _, t := range r.ejections {
			t.Forget(name)
		}
	}
}

// connected returns the upstreams that the entry is connected to, so that choices are made among few; all if it is
// connected to none.
func (r *Router) connected(ups []member.Upstream) []member.Upstream {
	var out []member.Upstream
	for _, u := range ups {
		if _, ok := r.opts.Links.Client(u.Name); ok {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return ups
	}
	return out
}

// snapshot returns the snapshot of a pool with the given upstreams; those in closed zones get no new calls.
func (r *Router) snapshot(name string, ups []member.Upstream, closed []string, now time.Time) *pool {
	set := make([]pick.Upstream, len(ups))
	incarnations := make([]string, len(ups))
	for i, u := range ups {
		s := r.track(u, now)
		incarnations[i] = u.Incarnation
		set[i] = pick.Upstream{
			Name:          u.Name,
			Zone:          u.Zone,
			Models:        u.Models,
			Gauge:         s.gauge,
			SlowStartFrom: s.restartedAt,
			Excluded:      slices.Contains(closed, u.Zone),
		}
	}
	return &pool{set: pick.NewSet(set), incarnations: incarnations, ejected: r.ejectionTable(name)}
}

// ejectionTable returns the ejections of a pool, kept from one snapshot to the next.
func (r *Router) ejectionTable(pool string) *eject.Table {
	t, ok := r.ejections[pool]
	if !ok {
		t = eject.New(eject.Options{})
		r.ejections[pool] = t
	}
	return t
}

// track updates the state of an upstream; a new incarnation gets a new gauge and a slow start.
func (r *Router) track(u member.Upstream, now time.Time) *upstreamState {
	s, ok := r.states[u.Name]
	if !ok {
		s = &upstreamState{incarnation: u.Incarnation, gauge: &gauge.Gauge{}}
		r.states[u.Name] = s
	}
	if s.incarnation != u.Incarnation && u.Incarnation != "" {
		restarted := s.incarnation != ""
		s.incarnation = u.Incarnation
		if restarted {
			s.restartedAt = now
			s.gauge = &gauge.Gauge{}
		}
	}
	if u.Load != nil {
		s.gauge.Observe(gaugeReport(u.Load, u.LoadAt))
	}
	return s
}

// Route picks a connected upstream; the error is a *fault.Error with the verdict NotRun.
func (r *Router) Route(q target.Query) (target.Target, error) {
	p, ok := (*r.pools.Load())[q.Pool]
	if !ok {
		return target.Target{}, r.noUpstream(q)
	}
	query := pick.Query{Zone: r.opts.Zone, Model: q.Model, Prefix: q.Prefix, Avoid: q.Avoid, SizeClass: q.Class}
	now := r.opts.Now()
	for range p.set.Len() {
		choice, ok := r.picker.Choose(query, p.set, now)
		if !ok {
			break
		}
		side, ok := r.opts.Links.Client(choice.Name)
		if !ok || (q.Version != "" && weightVersion(p.set.At(choice.Index).Models, q.Model) != q.Version) {
			query.Avoid = append(slices.Clip(query.Avoid), choice.Name)
			continue
		}
		r.logChoice(q, choice)
		return r.target(q, p, choice, side), nil
	}
	return target.Target{}, r.noUpstream(q)
}

// target counts an attempt on the chosen upstream as begun and returns the upstream.
func (r *Router) target(q target.Query, p *pool, c pick.Choice, side sidepb.SideClient) target.Target {
	u := p.set.At(c.Index)
	u.Gauge.Begin()
	return target.Target{
		Name:        u.Name,
		Zone:        u.Zone,
		Incarnation: p.incarnations[c.Index],
		Side:        side,
		Version:     weightVersion(u.Models, q.Model),
		Done:        func(rep target.Report) { r.attemptDone(q, p, c.Index, rep) },
	}
}

// weightVersion returns the version of a model's weights among the names that an upstream lists; empty if it lists none.
// The name of the model may be followed by a version or an adapter.
func weightVersion(listed []string, model string) string {
	if i := strings.IndexAny(model, "@+"); i >= 0 {
		model = model[:i]
	}
	for _, name := range listed {
		if base, version, ok := strings.Cut(name, "@"); ok && (base == model || model == "") {
			return version
		}
	}
	return ""
}

// attemptDone updates the state of the upstream from the report of an attempt.
func (r *Router) attemptDone(q target.Query, p *pool, index int, rep target.Report) {
	now := r.opts.Now()
	u := p.set.At(index)
	u.Gauge.End(rep.Took, expectedLatency(q, rep), now)
	if rep.Load != nil {
		u.Gauge.Observe(gaugeReport(rep.Load, now))
	}
	if rep.Load.GetDraining() || (rep.Fault != nil && rep.Fault.Code == fault.Draining) {
		r.opts.Links.Leaving(u.Name, p.incarnations[index])
	}
	r.updateEjection(q, p, u, rep, now)
}

// expectedLatency is the usual time of the stage, with which the attempt is compared; 0 if the attempt did not run and
// so tells nothing about the upstream's speed.
func expectedLatency(q target.Query, rep target.Report) time.Duration {
	if rep.Fault != nil && rep.Fault.Verdict == fault.NotRun {
		return 0
	}
	return q.Expected
}

// updateEjection counts the success or failure of an attempt and ejects an upstream that fails too often. After a
// success it also records that the upstream has cached the prompt's prefix.
func (r *Router) updateEjection(q target.Query, p *pool, u pick.Upstream, rep target.Report, now time.Time) {
	if rep.Fault == nil {
		p.ejected.Succeeded(u.Name)
		if q.Prefix != "" {
			r.affinity.Cached(q.Prefix, u.Name, now)
		}
		return
	}
	if !eject.IsUpstreamFailure(rep.Fault) {
		return
	}
	until, ejected := p.ejected.Failed(u.Name, p.set.Len(), now)
	if !ejected {
		return
	}
	u.Gauge.Eject(until)
	r.opts.Log.Warn("upstream ejected", zap.String("upstream", u.Name), zap.String("pool", q.Pool),
		zap.String("code", string(rep.Fault.Code)), zap.Time("until", until))
}

// UpdateCache records the prefixes that an upstream added to its cache or evicted from it.
func (r *Router) UpdateCache(name string, added, evicted []string) {
	now := r.opts.Now()
	for _, prefix := range added {
		r.affinity.Cached(prefix, name, now)
	}
	for _, prefix := range evicted {
		r.affinity.Evicted(prefix, name)
	}
}

// Ejected returns the sorted names of the ejected upstreams.
func (r *Router) Ejected() []string {
	now := r.opts.Now()
	var out []string
	for _, p := range *r.pools.Load() {
		for i := range p.set.Len() {
			u := p.set.At(i)
			if until, ok := u.Gauge.EjectedUntil(); ok && now.Before(until) {
				out = append(out, u.Name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Side returns the current connection to an upstream's side.
func (r *Router) Side(name string) (sidepb.SideClient, bool) { return r.opts.Links.Client(name) }

// Suspect reports a connection that went silent.
func (r *Router) Suspect(name string) { r.opts.Links.Suspect(name) }

// logChoice logs which upstream was picked, and why.
func (r *Router) logChoice(q target.Query, c pick.Choice) {
	r.opts.Log.Info("routed",
		zap.String("id", q.Request), zap.String("stage", q.Stage), zap.String("pool", q.Pool),
		zap.String("chosen", c.Name), zap.String("reason", string(c.Reason)),
		zap.Int("candidates", c.Candidates), zap.Float64("load", c.Load),
		zap.Duration("loadAge", c.LoadAge), zap.Bool("hedge", q.Hedge), zap.Int64("revision", q.Revision))
}

// noUpstream logs that no upstream can take the attempt and returns the error for it.
func (r *Router) noUpstream(q target.Query) *fault.Error {
	r.opts.Log.Warn("no upstream", zap.String("id", q.Request), zap.String("stage", q.Stage),
		zap.String("pool", q.Pool), zap.String("model", q.Model), zap.Int64("revision", q.Revision))
	return fault.New(fault.NotRun, fault.NoUpstream, "pool %q has no upstream for stage %q", q.Pool, q.Stage).
		WithRetryAfter(noUpstreamRetryAfter)
}

// gaugeReport converts a side's load report, received at the given time.
func gaugeReport(l *sidepb.Load, at time.Time) gauge.Report {
	return gauge.Report{
		Running: int(l.GetRunning()),
		Queued:  int(l.GetQueued()),
		Limit:   int(l.GetLimit()),
		Latency: time.Duration(l.GetLatencyMs() * float64(time.Millisecond)),
		At:      at,
	}
}
