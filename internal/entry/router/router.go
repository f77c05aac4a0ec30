package router

import (
	"math/rand/v2"
	"slices"
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

// retryAfterNone is when a caller may come back that found no upstream.
const retryAfterNone = time.Second

// Links are the connections to the sides.
type Links interface {
	Client(name string) (sidepb.SideClient, bool)
	// Suspect reports a connection that went silent.
	Suspect(name string)
	// Leaving reports an upstream that refused a call because it is leaving.
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

// Router implements target.Router; Update belongs to the control goroutine.
type Router struct {
	o      Options
	picker *pick.Picker
	spill  *spill.Cap
	affin  *affinity.Map
	pools  atomic.Pointer[map[string]*pool]

	// The fields below belong to the control goroutine.
	gauges map[string]*seen // by upstream
	tables map[string]*eject.Table
}

// pool is the snapshot of one pool's upstreams.
type pool struct {
	set          *pick.Set
	incarnations []string // by index of set
	ejected      *eject.Table
}

// seen is what outlives the snapshots of an upstream.
type seen struct {
	incarnation string
	since       time.Time
	gauge       *gauge.Gauge
}

// New returns a router that knows no upstream yet.
func New(o Options) *Router {
	r := &Router{
		o:      o,
		spill:  spill.New(0),
		affin:  affinity.New(affinity.Options{}),
		gauges: map[string]*seen{},
		tables: map[string]*eject.Table{},
	}
	r.picker = pick.New(o.Rand, pick.Options{Spill: r.spill, Affinity: r.affin})
	r.pools.Store(&map[string]*pool{})
	return r
}

// Update publishes a snapshot of view under a preset, whose maintenance zones get no new work.
func (r *Router) Update(view member.View, p preset.Spec) {
	now := r.o.Now()
	r.spill.Set(p.SpillCap)
	r.forget(view)
	pools := make(map[string]*pool, len(view.Pools))
	for name := range view.Pools {
		pools[name] = r.snapshot(name, r.connected(view.Usable(name)), p.MaintenanceZones, now)
	}
	r.pools.Store(&pools)
}

// forget drops what is kept of upstreams that are gone.
func (r *Router) forget(view member.View) {
	for name := range r.gauges {
		if _, known := view.Upstream(name); known {
			continue
		}
		delete(r.gauges, name)
		for _, t := range r.tables {
			t.Forget(name)
		}
	}
}

// connected keeps the upstreams that the entry has a connection to, so that choices are made among few; all when it has none.
func (r *Router) connected(ups []member.Upstream) []member.Upstream {
	var out []member.Upstream
	for _, u := range ups {
		if _, ok := r.o.Links.Client(u.Name); ok {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return ups
	}
	return out
}

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
			SlowStartFrom: s.since,
			Excluded:      slices.Contains(closed, u.Zone),
		}
	}
	return &pool{set: pick.NewSet(set), incarnations: incarnations, ejected: r.table(name)}
}

func (r *Router) table(pool string) *eject.Table {
	t, ok := r.tables[pool]
	if !ok {
		t = eject.New(eject.Options{})
		r.tables[pool] = t
	}
	return t
}

// track keeps the gauge of an upstream; a new incarnation starts slowly and afresh.
func (r *Router) track(u member.Upstream, now time.Time) *seen {
	s, ok := r.gauges[u.Name]
	if !ok {
		s = &seen{incarnation: u.Incarnation, gauge: &gauge.Gauge{}}
		r.gauges[u.Name] = s
	}
	if s.incarnation != u.Incarnation && u.Incarnation != "" {
		restarted := s.incarnation != ""
		s.incarnation = u.Incarnation
		if restarted {
			s.since = now
			s.gauge = &gauge.Gauge{}
		}
	}
	if u.Load != nil {
		s.gauge.Observe(report(u.Load, u.LoadAt))
	}
	return s
}

// Route picks an upstream with a live connection.
func (r *Router) Route(q target.Query) (target.Target, error) {
	p, ok := (*r.pools.Load())[q.Pool]
	if !ok {
		return target.Target{}, r.none(q)
	}
	query := pick.Query{Zone: r.o.Zone, Model: q.Model, Prefix: q.Prefix, Avoid: q.Avoid, SizeClass: q.Class}
	now := r.o.Now()
	for range p.set.Len() {
		choice, ok := r.picker.Choose(query, p.set, now)
		if !ok {
			break
		}
		side, ok := r.o.Links.Client(choice.Name)
		if !ok {
			query.Avoid = append(slices.Clip(query.Avoid), choice.Name)
			continue
		}
		r.decided(q, choice)
		return r.target(q, p, choice, side), nil
	}
	return target.Target{}, r.none(q)
}

func (r *Router) target(q target.Query, p *pool, c pick.Choice, side sidepb.SideClient) target.Target {
	u := p.set.At(c.Index)
	u.Gauge.Begin()
	return target.Target{
		Name:        u.Name,
		Zone:        u.Zone,
		Incarnation: p.incarnations[c.Index],
		Side:        side,
		Done:        func(rep target.Report) { r.done(q, p, c.Index, rep) },
	}
}

// done feeds the end of an attempt back into the picture of its upstream.
func (r *Router) done(q target.Query, p *pool, index int, rep target.Report) {
	now := r.o.Now()
	u := p.set.At(index)
	u.Gauge.End(rep.Took, expected(q, rep), now)
	if rep.Load != nil {
		u.Gauge.Observe(report(rep.Load, now))
	}
	if rep.Load.GetDraining() || (rep.Fault != nil && rep.Fault.Code == fault.Draining) {
		r.o.Links.Leaving(u.Name, p.incarnations[index])
	}
	r.judge(q, p, u, rep, now)
}

// expected is the usual time that the attempt is compared with; 0 when it says nothing of the upstream's speed.
func expected(q target.Query, rep target.Report) time.Duration {
	if rep.Fault != nil && rep.Fault.Verdict == fault.NotRun {
		return 0
	}
	return q.Expected
}

// judge ejects an upstream that fails too often, and learns where prompts are cached.
func (r *Router) judge(q target.Query, p *pool, u pick.Upstream, rep target.Report, now time.Time) {
	if rep.Fault == nil {
		p.ejected.Succeeded(u.Name)
		if q.Prefix != "" {
			r.affin.Cached(q.Prefix, u.Name, now)
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
	r.o.Log.Warn("upstream ejected", zap.String("upstream", u.Name), zap.String("pool", q.Pool),
		zap.String("code", string(rep.Fault.Code)), zap.Time("until", until))
}

// UpdateCache takes the cache events of an upstream.
func (r *Router) UpdateCache(name string, added, evicted []string) {
	now := r.o.Now()
	for _, prefix := range added {
		r.affin.Cached(prefix, name, now)
	}
	for _, prefix := range evicted {
		r.affin.Evicted(prefix, name)
	}
}

// Ejected lists the upstreams that get no calls because they failed, by name.
func (r *Router) Ejected() []string {
	now := r.o.Now()
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
func (r *Router) Side(name string) (sidepb.SideClient, bool) { return r.o.Links.Client(name) }

// Suspect reports a connection that went silent.
func (r *Router) Suspect(name string) { r.o.Links.Suspect(name) }

func (r *Router) decided(q target.Query, c pick.Choice) {
	r.o.Log.Info("routed",
		zap.String("id", q.Request), zap.String("stage", q.Stage), zap.String("pool", q.Pool),
		zap.String("chosen", c.Name), zap.String("reason", string(c.Reason)),
		zap.Int("candidates", c.Candidates), zap.Float64("load", c.Load),
		zap.Duration("loadAge", c.LoadAge), zap.Bool("hedge", q.Hedge), zap.Int64("revision", q.Revision))
}

func (r *Router) none(q target.Query) *fault.Error {
	r.o.Log.Warn("no upstream", zap.String("id", q.Request), zap.String("stage", q.Stage),
		zap.String("pool", q.Pool), zap.String("model", q.Model), zap.Int64("revision", q.Revision))
	return fault.New(fault.NotRun, fault.NoUpstream, "pool %q has no upstream for stage %q", q.Pool, q.Stage).
		WithRetryAfter(retryAfterNone)
}

func report(l *sidepb.Load, at time.Time) gauge.Report {
	return gauge.Report{
		Running: int(l.GetRunning()),
		Queued:  int(l.GetQueued()),
		Limit:   int(l.GetLimit()),
		Latency: time.Duration(l.GetLatencyMs() * float64(time.Millisecond)),
		At:      at,
	}
}
