package router

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
	"github.com/ragworthatch/ragworthatch/internal/route/pick"
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
	Zone   string
	Links  Links
	Picker *pick.Picker
	Log    *zap.Logger
	Now    func() time.Time
}

// Router implements target.Router; Update belongs to the control goroutine.
type Router struct {
	o      Options
	pools  atomic.Pointer[map[string]*pool]
	gauges map[string]*seen // by upstream, of the control goroutine
}

// pool is the snapshot of one pool's upstreams.
type pool struct {
	set          *pick.Set
	incarnations []string // by index of set
}

// seen is what outlives the snapshots of an upstream.
type seen struct {
	incarnation string
	since       time.Time
	gauge       *gauge.Gauge
}

// New returns a router that knows no upstream yet.
func New(o Options) *Router {
	r := &Router{o: o, gauges: map[string]*seen{}}
	r.pools.Store(&map[string]*pool{})
	return r
}

// Update publishes a snapshot of view in which the closed zones get no new work.
func (r *Router) Update(view member.View, closed []string) {
	now := r.o.Now()
	pools := make(map[string]*pool, len(view.Pools))
	for name := range view.Pools {
		pools[name] = r.snapshot(view.Usable(name), closed, now)
	}
	r.pools.Store(&pools)
}

func (r *Router) snapshot(ups []member.Upstream, closed []string, now time.Time) *pool {
	set := make([]pick.Upstream, len(ups))
	incarnations := make([]string, len(ups))
	for i, u := range ups {
		s := r.track(u, now)
		incarnations[i] = u.Incarnation
		set[i] = pick.Upstream{
			Name:   u.Name,
			Zone:   u.Zone,
			Models: u.Models,
			Gauge:  s.gauge,
			Since:  s.since,
			Out:    slices.Contains(closed, u.Zone),
		}
	}
	return &pool{set: pick.NewSet(set), incarnations: incarnations}
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
		choice, ok := r.o.Picker.Choose(query, p.set, now)
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
	incarnation := p.incarnations[c.Index]
	u.Gauge.Begin()
	return target.Target{
		Name:        u.Name,
		Zone:        u.Zone,
		Incarnation: incarnation,
		Side:        side,
		Done:        func(rep target.Report) { r.done(q, u, incarnation, rep) },
	}
}

// done feeds the end of an attempt back into the picture of its upstream.
func (r *Router) done(q target.Query, u pick.Upstream, incarnation string, rep target.Report) {
	now := r.o.Now()
	expected := q.Expected
	if rep.Fault != nil && rep.Fault.Verdict == fault.NotRun {
		expected = 0
	}
	u.Gauge.End(rep.Took, expected, now)
	if rep.Load != nil {
		u.Gauge.Observe(report(rep.Load, now))
	}
	if rep.Load.GetDraining() || (rep.Fault != nil && rep.Fault.Code == fault.Draining) {
		r.o.Links.Leaving(u.Name, incarnation)
	}
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
