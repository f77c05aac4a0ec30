package trial

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

const (
	claimMs   = 50 // append of a claim to the log and reading up to it
	connectMs = 500
	failMs    = 5
)

// side stands before one engine; without a scheduler it hands every call on.
type side struct {
	w       *world
	pool    Pool
	name    string
	zone    int
	engine  *engine
	sched   *sched.Scheduler[*attempt]
	active  []*attempt
	waiting []*attempt // for the log
	failing bool
	fifo    []*attempt // of the naive version
	busy    int
}

func newSide(w *world, p Pool, name string, zone int) *side {
	batch := p.Batch
	if batch == 0 {
		batch = 2 * p.Slots
	}
	s := &side{w: w, pool: p, name: name, zone: zone, engine: newEngine(w.loop, p.Slots, batch)}
	if w.scenario.Prefix.Count > 0 {
		s.engine.cache = newCache(w.scenario.Prefix.Cached)
	}
	if w.policy.Sched {
		s.sched = sched.New[*attempt](sched.Options{Limit: adapt.Options{
			Floor:   max(1, p.Slots/4),
			Ceiling: batch,
			Initial: p.Slots,
			Target:  millis(p.TargetMs),
		}})
	}
	return s
}

// arrive takes a call off the network.
func (s *side) arrive(a *attempt) {
	if s.engine.down {
		s.w.loop.after(millis(connectMs), func() {
			a.fail(fault.New(fault.NotRun, fault.NoUpstream, "connection refused"))
		})
		return
	}
	s.w.result.called(a, s.w.loop.since().Seconds())
	if s.failing {
		s.w.loop.after(millis(failMs), func() {
			a.fail(fault.New(fault.MayHaveRun, fault.Upstream, "upstream failed"))
		})
		return
	}
	s.active = append(s.active, a)
	if a.stage.Action && s.w.policy.Sched {
		s.claim(a, func() { s.offer(a) })
		return
	}
	s.offer(a)
}

// claim runs next once the log has taken the claim of an action.
func (s *side) claim(a *attempt, next func()) {
	if s.w.logDown {
		a.resume = next
		s.waiting = append(s.waiting, a)
		return
	}
	s.w.loop.after(millis(claimMs), func() {
		if !a.over {
			next()
		}
	})
}

func (s *side) logBack() {
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		if !a.over {
			s.claim(a, a.resume)
		}
	}
}

func (s *side) offer(a *attempt) {
	if s.sched == nil {
		s.fifo = append(s.fifo, a)
		s.work()
		return
	}
	job, err := s.sched.Offer(a.ticket(), a, s.w.loop.now)
	if err != nil {
		s.refuse(a, err)
		return
	}
	a.job = job
	s.pump()
}

// work gives free workers of the naive version the next calls; a worker is held while an action's claim is appended.
func (s *side) work() {
	for s.busy < s.engine.batch && len(s.fifo) > 0 {
		a := s.fifo[0]
		s.fifo = s.fifo[1:]
		if a.over {
			continue
		}
		a.working = true
		s.busy++
		if a.stage.Action {
			s.claim(a, func() { s.run(a) })
			continue
		}
		s.run(a)
	}
}

// rest frees the worker that an attempt held.
func (s *side) rest(a *attempt) {
	if a.working {
		a.working = false
		s.busy--
		s.work()
	}
}

func (s *side) pump() {
	for {
		job, err := s.sched.Next(s.w.loop.now)
		if job == nil {
			break
		}
		if err != nil {
			s.refuse(job.Value, err)
			continue
		}
		s.run(job.Value)
	}
	s.w.loop.cancel(s.w.wakeups[s])
	if at, ok := s.sched.Wakeup(); ok {
		s.w.wakeups[s] = s.w.loop.after(at.Sub(s.w.loop.now), s.pump)
	}
}

func (s *side) refuse(a *attempt, err error) {
	s.forget(a)
	f := fault.From(err)
	s.w.loop.after(s.w.delay(a), func() { a.fail(f) })
}

func (s *side) run(a *attempt) {
	work, prefill := a.work, a.prefill
	if s.engine.cache != nil && a.stage.PrefillMs > 0 {
		hit, evicted := s.engine.cache.use(a.req.prefix)
		if !hit {
			s.w.cacheEvent(s, a.req.prefix, evicted)
		}
		if hit {
			saved := prefill * (1 - uncachedPart)
			work -= saved
			prefill -= saved
		}
	}
	s.w.result.prefill += prefill
	a.task = &task{prefill: prefill, work: work, done: func() { s.finish(a) }}
	if a.stage.TokenMs > 0 {
		a.task.first = func() { a.firstToken() }
	}
	s.engine.submit(a.task)
}

func (s *side) finish(a *attempt) {
	a.done = a.task.work
	s.spent(a)
	a.pace = a.paced()
	s.forget(a)
	if s.sched != nil {
		s.sched.Finish(a.job, s.w.loop.now, sched.Result{Latency: a.pace})
		s.pump()
	}
	s.rest(a)
	report := s.report()
	s.w.loop.after(s.w.delay(a), func() { a.succeed(report) })
}

// spent counts the work that the engine has done on a call.
func (s *side) spent(a *attempt) {
	s.w.result.work += a.done
	if a.hedge {
		s.w.result.hedged += a.done
		a.req.entry.hedges.Settle(a.reserved, seconds(a.done))
	}
}

// cancel stops a call wherever it is.
func (s *side) cancel(a *attempt) {
	s.forget(a)
	if a.task != nil && !a.task.gone {
		a.done = s.engine.stop(a.task)
		s.spent(a)
	}
	if s.sched != nil && a.job != nil {
		if !s.sched.Remove(a.job) {
			s.sched.Abandon(a.job)
		}
		s.pump()
	}
	s.rest(a)
}

func (s *side) crash() {
	s.engine.crash()
	lost := s.active
	s.active = nil
	for _, a := range lost {
		s.w.loop.after(millis(s.pool.SilentMs), func() {
			a.fail(fault.New(fault.MayHaveRun, fault.Silent, "no progress"))
		})
	}
}

func (s *side) report() gauge.Report {
	r := gauge.Report{At: s.w.loop.now}
	if s.sched != nil {
		l := s.sched.Load()
		r.Running, r.Queued, r.Limit, r.Latency = l.Running, l.Queued, l.Limit, l.Latency
		r.ShortWait, r.LongWait = l.ShortWait, l.LongWait
	}
	return r
}

func (s *side) forget(a *attempt) {
	if i := slices.Index(s.active, a); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}
