package trial

import (
	"math/rand/v2"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/admit"
	"github.com/ragworthatch/ragworthatch/internal/limit/hedge"
	"github.com/ragworthatch/ragworthatch/internal/limit/retry"
	"github.com/ragworthatch/ragworthatch/internal/limit/share"
	"github.com/ragworthatch/ragworthatch/internal/limit/sketch"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/route/affinity"
	"github.com/ragworthatch/ragworthatch/internal/route/eject"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
	"github.com/ragworthatch/ragworthatch/internal/route/pick"
	"github.com/ragworthatch/ragworthatch/internal/route/spill"
	"github.com/ragworthatch/ragworthatch/internal/route/subset"
)

const (
	naiveRetries = 3
	uncachedPart = 0.1 // of a prompt's prefill, when its prefix is cached
)

// view is what an entry knows of a pool.
type view struct {
	set     *pick.Set
	sides   []*side
	picker  *pick.Picker
	turn    int
	gauges  []*gauge.Gauge
	retries *retry.Budget
	affin   *affinity.Map
	ejected *eject.Table
}

// entry plans the stages of its requests.
type entry struct {
	w        *world
	name     string
	zone     int
	down     bool
	views    map[string]*view
	admit    *admit.Controller
	share    *share.Limiter
	sketches *sketch.Set
	hedges   *hedge.Budget
}

func newEntry(w *world, name string, zone int) *entry {
	e := &entry{w: w, name: name, zone: zone, views: map[string]*view{}}
	e.admit = admit.New(rand.New(rand.NewPCG(w.rng.Uint64(), 0)), admit.Options{})
	e.share = share.New()
	e.sketches = sketch.New(0)
	e.hedges = hedge.New(w.scenario.Hedge)
	for _, p := range w.scenario.Pools {
		e.views[p.Name] = e.newView(p)
	}
	return e
}

func (e *entry) newView(p Pool) *view {
	v := &view{sides: e.keep(p), affin: affinity.New(affinity.Options{}), retries: retry.New(0), ejected: eject.New(eject.Options{})}
	for range v.sides {
		v.gauges = append(v.gauges, &gauge.Gauge{})
	}
	v.publish("")
	v.turn = e.w.rng.IntN(len(v.sides))
	v.picker = pick.New(rand.New(rand.NewPCG(e.w.rng.Uint64(), 0)), e.pickOptions(v))
	return v
}

// publish makes the set that choices are made from; a zone under maintenance is left out.
func (v *view) publish(maintenance string) {
	all := make([]pick.Upstream, len(v.sides))
	for i, s := range v.sides {
		zone := zoneName(s.zone)
		all[i] = pick.Upstream{Name: s.name, Zone: zone, Gauge: v.gauges[i], Excluded: zone == maintenance}
	}
	v.set = pick.NewSet(all)
}

// keep returns the sides that the entry keeps connections to.
func (e *entry) keep(p Pool) []*side {
	all := e.w.sides[p.Name]
	if !e.w.policy.Zone {
		return all
	}
	members := make([]subset.Member, len(all))
	for i, s := range all {
		members[i] = subset.Member{Name: s.name, Zone: zoneName(s.zone)}
	}
	var kept []*side
	for _, i := range (subset.Spec{Entry: e.name, Zone: zoneName(e.zone)}).Select(members) {
		kept = append(kept, all[i])
	}
	return kept
}

func (e *entry) pickOptions(v *view) pick.Options {
	var o pick.Options
	if e.w.policy.Zone {
		o.Spill = spill.New(0)
	}
	if e.w.policy.Affin {
		o.Affinity = v.affin
	}
	return o
}

func (e *entry) query(r *request) pick.Query {
	q := pick.Query{Avoid: r.tried, SizeClass: r.class()}
	if e.w.policy.Zone {
		q.Zone = zoneName(e.zone)
	}
	if r.prefix >= 0 && r.now().PrefillMs > 0 {
		q.Prefix = prefixName(r.prefix)
	}
	return q
}

// begin admits the request or refuses it at once.
func (e *entry) begin(r *request) {
	if e.w.policy.Share {
		if ok, wait := e.share.Allow(r.team, e.w.loop.now); !ok {
			r.end(fault.New(fault.NotRun, fault.OverLimit, "team is over its limit").WithRetryAfter(wait))
			return
		}
	}
	if e.w.policy.Admit {
		if err := e.admit.Admit(e.need(r), e.w.loop.now); err != nil {
			e.w.result.entryRefused++
			r.end(fault.From(err))
			return
		}
	}
	e.send(r, false)
}

func (e *entry) need(r *request) admit.Request {
	q := admit.Request{Team: r.team, SizeClass: r.class(), Remaining: r.remaining()}
	for i, st := range r.line.Stages {
		q.Stages = append(q.Stages, admit.Stage{Pool: st.Pool, Estimate: e.estimate(r, i)})
	}
	return q
}

// send starts an attempt of the request's present stage.
func (e *entry) send(r *request, second bool) {
	st := r.now()
	v := e.views[st.Pool]
	i, ok := e.choose(v, r)
	if !ok && second {
		return
	}
	if !ok {
		r.end(fault.New(fault.NotRun, fault.NoUpstream, "no upstream"))
		return
	}
	u := v.set.At(i)
	a := &attempt{req: r, stage: st, stageNo: r.stage, side: v.sides[i], gauge: u.Gauge, hedge: second, first: len(r.tried) == 0, sent: e.w.loop.now}
	a.work, a.prefill = e.w.drawWork(st)
	r.tried = append(r.tried, u.Name)
	r.attempts = append(r.attempts, a)
	u.Gauge.Begin()
	e.w.loop.after(e.w.delay(a), func() {
		if !a.over {
			a.side.arrive(a)
		}
	})
	if e.w.policy.Hedge && !second {
		e.planHedge(a)
	}
	if !e.w.policy.Sched {
		a.timer = e.w.loop.after(millis(e.w.scenario.timeoutMs()), func() { e.timedOut(a) })
	}
}

// planHedge sends a second call once the first has taken longer than most.
func (e *entry) planHedge(a *attempt) {
	r := a.req
	est, _ := e.sketches.Estimate(sketchKey(r, r.stage), e.w.loop.now)
	delay, ok := e.hedges.Delay(hedge.Call{
		Repeatable: !a.stage.Action,
		Quantile:   est.P99,
		Samples:    est.Samples,
		Remaining:  r.remaining(),
		Estimate:   est.Median + e.after(r),
	})
	if !ok {
		return
	}
	a.timer = e.w.loop.after(delay, func() {
		if a.over || !e.hedges.Take(est.Median) {
			return
		}
		e.w.result.hedges++
		e.send(r, true)
		if last := r.attempts[len(r.attempts)-1]; last.hedge {
			last.reserved = est.Median
		}
	})
}

func (e *entry) timedOut(a *attempt) {
	if a.over {
		return
	}
	a.abandon()
	e.failed(a, fault.New(fault.MayHaveRun, fault.Deadline, "call timed out"))
}

func (e *entry) choose(v *view, r *request) (int, bool) {
	if !e.w.policy.Pick {
		v.turn = (v.turn + 1) % v.set.Len()
		return v.turn, true
	}
	choice, ok := v.picker.Choose(e.query(r), v.set, e.w.loop.now)
	return choice.Index, ok
}

func (e *entry) failed(a *attempt, err *fault.Error) {
	r := a.req
	if r.over {
		return
	}
	e.blame(a, err)
	if err.Code == fault.Overloaded {
		e.admit.ObserveRefusal(a.stage.Pool, r.class(), e.w.loop.now)
	}
	if r.open() {
		return
	}
	if a.stage.Action && err.Verdict != fault.NotRun {
		r.end(err)
		return
	}
	if !e.again(a, err) {
		r.end(err)
		return
	}
	r.retries++
	e.send(r, false)
}

// blame tells the ejection table of a failure.
func (e *entry) blame(a *attempt, err *fault.Error) {
	if !e.w.policy.Eject || !eject.IsUpstreamFailure(err) {
		return
	}
	v := e.views[a.stage.Pool]
	if until, ok := v.ejected.Failed(a.side.name, v.set.Len(), e.w.loop.now); ok {
		a.gauge.Eject(until)
	}
}

func (e *entry) again(a *attempt, err *fault.Error) bool {
	r := a.req
	if !e.w.policy.Retry {
		return r.retries < naiveRetries
	}
	d := e.views[a.stage.Pool].retries.Decide(retry.Failure{
		Err:             err,
		Repeatable:      !a.stage.Action,
		Retries:         uint32(r.retries),
		OverloadRetries: uint32(r.overloads),
		Remaining:       r.remaining(),
		Estimate:        e.expected(a) + e.after(r),
	})
	if d.Reason == retry.Overloaded {
		r.overloads++
	}
	return d.Again
}

func (e *entry) succeeded(a *attempt) {
	e.views[a.stage.Pool].ejected.Succeeded(a.side.name)
	e.views[a.stage.Pool].retries.Succeeded()
	took := e.w.loop.now.Sub(a.sent)
	if !a.hedge {
		e.hedges.Earn(seconds(a.done))
	}
	e.sketches.Add(sketchKey(a.req, a.req.stage), took, e.w.loop.now)
}

// observe takes the load report that rides on an answer.
func (e *entry) observe(a *attempt, report gauge.Report) {
	if a.job != nil {
		e.admit.Observe(a.stage.Pool, pipe.Short, report.ShortWait, e.w.loop.now)
		e.admit.Observe(a.stage.Pool, pipe.Long, report.LongWait, e.w.loop.now)
	}
	reports := e.w.scenario.Reports
	if e.w.rng.Float64() < reports.Missing {
		return
	}
	e.w.loop.after(millis(reports.AgeMs), func() { a.gauge.Observe(report) })
}

// expected is the usual time of an attempt's stage, 0 when unknown.
func (e *entry) expected(a *attempt) time.Duration { return e.estimate(a.req, a.stageNo) }

func (e *entry) estimate(r *request, stage int) time.Duration {
	est, _ := e.sketches.Estimate(sketchKey(r, stage), e.w.loop.now)
	return est.Median
}

func sketchKey(r *request, stage int) sketch.Key {
	return sketch.Key{Stage: r.line.Stages[stage].Pool, SizeClass: r.class()}
}

// after is the usual time of the stages after the present one.
func (e *entry) after(r *request) time.Duration {
	var sum time.Duration
	for i := r.stage + 1; i < len(r.line.Stages); i++ {
		sum += e.estimate(r, i)
	}
	return sum
}
