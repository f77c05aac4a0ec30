package trial

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

const (
	claimMs           = 50 // appending a claim to the log and reading the log up to it
	connectFailureMs  = 500
	upstreamFailureMs = 5
)

// side is the simulated sidecar of one engine. Without a scheduler it runs the calls in order of arrival.
type side struct {
	sim           *simulation
	pool          Pool
	name          string
	zone          int
	engine        *engine
	sched         *sched.Scheduler[*attempt]
	active        []*attempt
	waitingForLog []*attempt // attempts whose claim waits for the log
	failing       bool
	fifo          []*attempt // queue of a side without a scheduler
	busyWorkers   int
}

func newSide(sim *simulation, p Pool, name string, zone int) *side {
	batch := p.Batch
	if batch == 0 {
		batch = 2 * p.Slots
	}
	s := &side{sim: sim, pool: p, name: name, zone: zone, engine: newEngine(sim.loop, p.Slots, batch)}
	if sim.scenario.Prefix.Count > 0 {
		s.engine.cache = newCache(sim.scenario.Prefix.CacheSize)
	}
	if sim.policy.Sched {
		s.sched = sched.New[*attempt](sched.Options{Limit: adapt.Options{
			Floor:   max(1, p.Slots/4),
			Ceiling: batch,
			Initial: p.Slots,
			Target:  millis(p.TargetMs),
		}})
	}
	return s
}

// arrive handles a call that reaches the side's host; it fails when the engine is down or failing.
func (s *side) arrive(a *attempt) {
	if s.engine.down {
		s.sim.loop.after(millis(connectFailureMs), func() {
			a.fail(fault.New(fault.NotRun, fault.NoUpstream, "connection refused"))
		})
		return
	}
	s.sim.result.recordCall(a, s.sim.loop.elapsed().Seconds())
	if s.failing {
		s.sim.loop.after(millis(upstreamFailureMs), func() {
			a.fail(fault.New(fault.MayHaveRun, fault.Upstream, "upstream failed"))
		})
		return
	}
	s.active = append(s.active, a)
	if a.stage.Action && s.sim.policy.Sched {
		s.claim(a, func() { s.offer(a) })
		return
	}
	s.offer(a)
}

// claim runs next once the claim of an action is in the log.
func (s *side) claim(a *attempt, next func()) {
	if s.sim.logDown {
		a.resume = next
		s.waitingForLog = append(s.waitingForLog, a)
		return
	}
	s.sim.loop.after(millis(claimMs), func() {
		if !a.closed {
			next()
		}
	})
}

// resumeClaims appends the claims that waited for the log.
func (s *side) resumeClaims() {
	waiting := s.waitingForLog
	s.waitingForLog = nil
	for _, a := range waiting {
		if !a.closed {
			s.claim(a, a.resume)
		}
	}
}

// offer hands a call to the scheduler, or queues it on a side without one.
func (s *side) offer(a *attempt) {
	if s.sched == nil {
		s.fifo = append(s.fifo, a)
		s.startNaiveCalls()
		return
	}
	job, err := s.sched.Offer(a.schedCall(), a, s.sim.loop.now)
	if err != nil {
		s.refuse(a, err)
		return
	}
	a.job = job
	s.dispatch()
}

// startNaiveCalls starts the next calls of the queue on free workers. An action occupies its worker while its claim is
// appended.
func (s *side) startNaiveCalls() {
	for s.busyWorkers < s.engine.batch && len(s.fifo) > 0 {
		a := s.fifo[0]
		s.fifo = s.fifo[1:]
		if a.closed {
			continue
		}
		a.holdsWorker = true
		s.busyWorkers++
		if a.stage.Action {
			s.claim(a, func() { s.runOnEngine(a) })
			continue
		}
		s.runOnEngine(a)
	}
}

// releaseWorker frees the worker that an attempt occupies.
func (s *side) releaseWorker(a *attempt) {
	if a.holdsWorker {
		a.holdsWorker = false
		s.busyWorkers--
		s.startNaiveCalls()
	}
}

// dispatch runs every job that the scheduler releases now, and wakes up for the next.
func (s *side) dispatch() {
	for {
		job, err := s.sched.Next(s.sim.loop.now)
		if job == nil {
			break
		}
		if err != nil {
			s.refuse(job.Value, err)
			continue
		}
		s.runOnEngine(job.Value)
	}
	s.sim.loop.cancel(s.sim.wakeups[s])
	if at, ok := s.sched.Wakeup(); ok {
		s.sim.wakeups[s] = s.sim.loop.after(at.Sub(s.sim.loop.now), s.dispatch)
	}
}

func (s *side) refuse(a *attempt, err error) {
	s.removeActive(a)
	f := fault.From(err)
	s.sim.loop.after(s.sim.delay(a), func() { a.fail(f) })
}

func (s *side) runOnEngine(a *attempt) {
	work, prefill := a.work, a.prefill
	if s.engine.cache != nil && a.stage.PrefillMs > 0 {
		hit, evicted := s.engine.cache.access(a.request.prefix)
		if !hit {
			s.sim.cacheEvent(s, a.request.prefix, evicted)
		}
		if hit {
			saved := prefill * (1 - uncachedFraction)
			work -= saved
			prefill -= saved
		}
	}
	s.sim.result.prefill += prefill
	a.task = &task{prefill: prefill, work: work, onDone: func() { s.finish(a) }}
	if a.stage.TokenMs > 0 {
		a.task.onFirstToken = func() { a.recordFirstToken() }
	}
	s.engine.submit(a.task)
}

func (s *side) finish(a *attempt) {
	a.workDone = a.task.work
	s.recordWork(a)
	a.tokenInterval = a.meanTokenInterval()
	s.removeActive(a)
	if s.sched != nil {
		s.sched.Finish(a.job, s.sim.loop.now, sched.Result{Latency: a.tokenInterval})
		s.dispatch()
	}
	s.releaseWorker(a)
	report := s.report()
	s.sim.loop.after(s.sim.delay(a), func() { a.succeed(report) })
}

// recordWork counts the work that the engine has done on a call, and settles a hedge's share of the budget.
func (s *side) recordWork(a *attempt) {
	s.sim.result.engineWork += a.workDone
	if a.hedge {
		s.sim.result.hedgeWork += a.workDone
		a.request.entry.hedges.Settle(a.reserved, seconds(a.workDone))
	}
}

// cancel stops a call, whether it is queued or running.
func (s *side) cancel(a *attempt) {
	s.removeActive(a)
	if a.task != nil && !a.task.removed {
		a.workDone = s.engine.stop(a.task)
		s.recordWork(a)
	}
	if s.sched != nil && a.job != nil {
		if !s.sched.Remove(a.job) {
			s.sched.Abandon(a.job)
		}
		s.dispatch()
	}
	s.releaseWorker(a)
}

// crash stops the engine; the entries notice it by the silence.
func (s *side) crash() {
	s.engine.crash()
	lost := s.active
	s.active = nil
	for _, a := range lost {
		s.sim.loop.after(millis(s.pool.SilentMs), func() {
			a.fail(fault.New(fault.MayHaveRun, fault.Silent, "no progress"))
		})
	}
}

func (s *side) report() gauge.Report {
	r := gauge.Report{At: s.sim.loop.now}
	if s.sched != nil {
		l := s.sched.Load()
		r.Running, r.Queued, r.Limit, r.Latency = l.Running, l.Queued, l.Limit, l.Latency
		r.ShortWait, r.LongWait = l.ShortWait, l.LongWait
	}
	return r
}

func (s *side) removeActive(a *attempt) {
	if i := slices.Index(s.active, a); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}
