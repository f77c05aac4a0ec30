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
	naiveRetries     = 3
	uncachedFraction = 0.1 // of a prompt's prefill that remains when its prefix is cached
)

// poolView is an entry's state for one pool.
type poolView struct {
	set        *pick.Set
	sides      []*side
	picker     *pick.Picker
	roundRobin int
	gauges     []*gauge.Gauge
	retries    *retry.Budget
	affinity   *affinity.Map
	ejections  *eject.Table
}

// entry is a simulated entry: it admits requests and sends their stages to sides.
type entry struct {
	sim      *simulation
	name     string
	zone     int
	down     bool
	views    map[string]*poolView
	admit    *admit.Controller
	share    *share.Limiter
	sketches *sketch.Set
	hedges   *hedge.Budget
}

func newEntry(sim *simulation, name string, zone int) *entry {
	e := &entry{sim: sim, name: name, zone: zone, views: map[string]*poolView{}}
	e.admit = admit.New(rand.New(rand.NewPCG(sim.rng.Uint64(), 0)), admit.Options{})
	e.share = share.New()
	e.sketches = sketch.New(0)
	e.hedges = hedge.New(sim.scenario.HedgeBudget)
	for _, p := range sim.scenario.Pools {
		e.views[p.Name] = e.newView(p)
	}
	return e
}

func (e *entry) newView(p Pool) *poolView {
	v := &poolView{sides: e.selectSides(p), affinity: affinity.New(affinity.Options{}),
		retries: retry.New(0), ejections: eject.New(eject.Options{})}
	for range v.sides {
		v.gauges = append(v.gauges, &gauge.Gauge{})
	}
	v.rebuildSet("")
	v.roundRobin = e.sim.rng.IntN(len(v.sides))
	v.picker = pick.New(rand.New(rand.NewPCG(e.sim.rng.Uint64(), 0)), e.pickOptions(v))
	return v
}

// rebuildSet replaces the set that upstreams are chosen from; those in the zone under maintenance are excluded.
func (v *poolView) rebuildSet(maintenance string) {
	all := make([]pick.Upstream, len(v.sides))
	for i, s := range v.sides {
		zone := zoneName(s.zone)
		all[i] = pick.Upstream{Name: s.name, Zone: zone, Gauge: v.gauges[i], Excluded: zone == maintenance}
	}
	v.set = pick.NewSet(all)
}

// selectSides returns the sides that the entry connects to: all of them, or its subset when the policy prefers zones.
func (e *entry) selectSides(p Pool) []*side {
	all := e.sim.sides[p.Name]
	if !e.sim.policy.Zone {
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

func (e *entry) pickOptions(v *poolView) pick.Options {
	var o pick.Options
	if e.sim.policy.Zone {
		o.Spill = spill.New(0)
	}
	if e.sim.policy.Affinity {
		o.Affinity = v.affinity
	}
	return o
}

func (e *entry) query(r *request) pick.Query {
	q := pick.Query{Avoid: r.tried, SizeClass: r.sizeClass()}
	if e.sim.policy.Zone {
		q.Zone = zoneName(e.zone)
	}
	if r.prefix >= 0 && r.currentStage().PrefillMs > 0 {
		q.Prefix = prefixName(r.prefix)
	}
	return q
}

// admitAndSend sends the request's first stage, or ends the request when a limit or admission control refuses it.
func (e *entry) admitAndSend(r *request) {
	if e.sim.policy.Share {
		if ok, wait := e.share.Allow(r.team, e.sim.loop.now); !ok {
			r.end(fault.New(fault.NotRun, fault.OverLimit, "team is over its limit").WithRetryAfter(wait))
			return
		}
	}
	if e.sim.policy.Admit {
		if err := e.admit.Admit(e.admitRequest(r), e.sim.loop.now); err != nil {
			e.sim.result.entryRefused++
			r.end(fault.From(err))
			return
		}
	}
	e.send(r, false)
}

func (e *entry) admitRequest(r *request) admit.Request {
	q := admit.Request{Team: r.team, SizeClass: r.sizeClass(), Remaining: r.remaining()}
	for i, st := range r.pipeline.Stages {
		q.Stages = append(q.Stages, admit.Stage{Pool: st.Pool, Estimate: e.estimate(r, i)})
	}
	return q
}

// send starts an attempt of the request's current stage; a hedge for which there is no upstream is dropped.
func (e *entry) send(r *request, isHedge bool) {
	st := r.currentStage()
	v := e.views[st.Pool]
	i, ok := e.choose(v, r)
	if !ok && isHedge {
		return
	}
	if !ok {
		r.end(fault.New(fault.NotRun, fault.NoUpstream, "no upstream"))
		return
	}
	u := v.set.At(i)
	a := &attempt{request: r, stage: st, stageIndex: r.stage, side: v.sides[i], gauge: u.Gauge,
		hedge: isHedge, firstOfStage: len(r.tried) == 0, sent: e.sim.loop.now}
	a.work, a.prefill = e.sim.drawWork(st)
	r.tried = append(r.tried, u.Name)
	r.attempts = append(r.attempts, a)
	u.Gauge.Begin()
	e.sim.loop.after(e.sim.delay(a), func() {
		if !a.closed {
			a.side.arrive(a)
		}
	})
	if e.sim.policy.Hedge && !isHedge {
		e.scheduleHedge(a)
	}
	if !e.sim.policy.Sched {
		a.timer = e.sim.loop.after(millis(e.sim.scenario.timeoutMsOrDefault()), func() { e.handleTimeout(a) })
	}
}

// scheduleHedge sends a hedge if the attempt is still in flight after the delay that the hedge budget sets.
func (e *entry) scheduleHedge(a *attempt) {
	r := a.request
	est, _ := e.sketches.Estimate(sketchKey(r, r.stage), e.sim.loop.now)
	delay, ok := e.hedges.Delay(hedge.Call{
		Repeatable: !a.stage.Action,
		Quantile:   est.P99,
		Samples:    est.Samples,
		Remaining:  r.remaining(),
		Estimate:   est.Median + e.laterStages(r),
	})
	if !ok {
		return
	}
	a.timer = e.sim.loop.after(delay, func() {
		if a.closed || !e.hedges.Take(est.Median) {
			return
		}
		e.sim.result.hedges++
		e.send(r, true)
		if last := r.attempts[len(r.attempts)-1]; last.hedge {
			last.reserved = est.Median
		}
	})
}

func (e *entry) handleTimeout(a *attempt) {
	if a.closed {
		return
	}
	a.abandon()
	e.handleFailure(a, fault.New(fault.MayHaveRun, fault.Deadline, "call timed out"))
}

// choose returns the index of an upstream, and false if there is none.
func (e *entry) choose(v *poolView, r *request) (int, bool) {
	if !e.sim.policy.Pick {
		v.roundRobin = (v.roundRobin + 1) % v.set.Len()
		return v.roundRobin, true
	}
	choice, ok := v.picker.Choose(e.query(r), v.set, e.sim.loop.now)
	return choice.Index, ok
}

// handleFailure retries a failed attempt or ends its request; an attempt that is still open may yet succeed.
func (e *entry) handleFailure(a *attempt, err *fault.Error) {
	r := a.request
	if r.finished {
		return
	}
	e.recordFailure(a, err)
	if err.Code == fault.Overloaded {
		e.admit.ObserveRefusal(a.stage.Pool, r.sizeClass(), e.sim.loop.now)
	}
	if r.hasOpenAttempt() {
		return
	}
	if a.stage.Action && err.Verdict != fault.NotRun {
		r.end(err)
		return
	}
	if !e.shouldRetry(a, err) {
		r.end(err)
		return
	}
	r.retries++
	e.send(r, false)
}

// recordFailure counts a failure of an upstream and ejects the upstream after too many.
func (e *entry) recordFailure(a *attempt, err *fault.Error) {
	if !e.sim.policy.Eject || !eject.IsUpstreamFailure(err) {
		return
	}
	v := e.views[a.stage.Pool]
	if until, ok := v.ejections.Failed(a.side.name, v.set.Len(), e.sim.loop.now); ok {
		a.gauge.Eject(until)
	}
}

func (e *entry) shouldRetry(a *attempt, err *fault.Error) bool {
	r := a.request
	if !e.sim.policy.Retry {
		return r.retries < naiveRetries
	}
	d := e.views[a.stage.Pool].retries.Decide(retry.Failure{
		Err:             err,
		Repeatable:      !a.stage.Action,
		Retries:         uint32(r.retries),
		OverloadRetries: uint32(r.overloadRetries),
		Remaining:       r.remaining(),
		Estimate:        e.expectedTime(a) + e.laterStages(r),
	})
	if d.Reason == retry.Overloaded {
		r.overloadRetries++
	}
	return d.Again
}

func (e *entry) recordSuccess(a *attempt) {
	e.views[a.stage.Pool].ejections.Succeeded(a.side.name)
	e.views[a.stage.Pool].retries.Succeeded()
	took := e.sim.loop.now.Sub(a.sent)
	if !a.hedge {
		e.hedges.Earn(seconds(a.workDone))
	}
	e.sketches.Add(sketchKey(a.request, a.request.stage), took, e.sim.loop.now)
}

// observe handles the load report that comes with an answer; some reports get lost, and the others apply late.
func (e *entry) observe(a *attempt, report gauge.Report) {
	if a.job != nil {
		e.admit.Observe(a.stage.Pool, pipe.Short, report.ShortWait, e.sim.loop.now)
		e.admit.Observe(a.stage.Pool, pipe.Long, report.LongWait, e.sim.loop.now)
	}
	reports := e.sim.scenario.Reports
	if e.sim.rng.Float64() < reports.LossFraction {
		return
	}
	e.sim.loop.after(millis(reports.DelayMs), func() { a.gauge.Observe(report) })
}

// expectedTime returns the median time of an attempt's stage, 0 when unknown.
func (e *entry) expectedTime(a *attempt) time.Duration { return e.estimate(a.request, a.stageIndex) }

func (e *entry) estimate(r *request, stage int) time.Duration {
	est, _ := e.sketches.Estimate(sketchKey(r, stage), e.sim.loop.now)
	return est.Median
}

func sketchKey(r *request, stage int) sketch.Key {
	return sketch.Key{Stage: r.pipeline.Stages[stage].Pool, SizeClass: r.sizeClass()}
}

// laterStages returns the sum of the median times of the stages after the current one.
func (e *entry) laterStages(r *request) time.Duration {
	var sum time.Duration
	for i := r.stage + 1; i < len(r.pipeline.Stages); i++ {
		sum += e.estimate(r, i)
	}
	return sum
}
