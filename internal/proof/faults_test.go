package proof

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const linkDelay = 4 * time.Millisecond // at most, for one message

// fault is one kind of failure that is injected.
type fault string

const (
	logDown       fault = "logDown"
	logLost       fault = "logLost" // appends take effect, their answers are lost
	logLate       fault = "logLate" // answers are lost and appends take effect later
	logSlow       fault = "logSlow"
	sideDies      fault = "sideDies"
	sidePauses    fault = "sidePauses"
	hostLeaves    fault = "hostLeaves" // a planned stop
	upstreamDies  fault = "upstreamDies"
	upstreamSlow  fault = "upstreamSlow"
	upstreamFails fault = "upstreamFails" // refuses, fails, crashes, ends early or goes silent
	upstreamMixes fault = "upstreamMixes" // answers are misdelivered, duplicated or reordered
	linkSilent    fault = "linkSilent"
	linkCut       fault = "linkCut"
	linkCopies    fault = "linkCopies" // calls are duplicated, the copy arrives late
	linkMixes     fault = "linkMixes"  // frames are duplicated, reordered or misdelivered
	poison        fault = "poison"     // a request that crashes each upstream that runs it
	burst         fault = "burst"
	entryDies     fault = "entryDies"
)

var allFaults = []fault{
	logDown, logLost, logLate, logSlow, sideDies, sidePauses, hostLeaves, upstreamDies, upstreamSlow, upstreamFails,
	upstreamMixes, linkSilent, linkCut, linkCopies, linkMixes, poison, burst, entryDies,
}

// faultSet is the set of faults in force; it is fixed for a run.
type faultSet map[fault]bool

func newFaultSet(faults ...fault) faultSet {
	set := faultSet{}
	for _, f := range faults {
		set[f] = true
	}
	return set
}

// upstreamPlanner returns a function that draws how each call of an upstream goes.
func (faults faultSet) upstreamPlanner(env *environment, crash func()) func(upstream.Call) worker.Plan {
	return func(call upstream.Call) worker.Plan {
		p := worker.Plan{
			Delay:  time.Millisecond + env.rnd.duration(40*time.Millisecond),
			Step:   env.rnd.duration(10 * time.Millisecond),
			Tokens: tokenCount(call.Body),
		}
		if faults[upstreamSlow] && env.rnd.chance(200) {
			p.Delay = env.rnd.duration(4 * time.Second)
		}
		if faults[poison] && bytes.Contains(call.Body, []byte(`"poison":true`)) {
			time.AfterFunc(p.Delay/2, crash)
		}
		if faults[upstreamFails] && env.rnd.chance(150) {
			p.Fault = pickOne(env.rnd, worker.RefuseConnection, worker.Refuse, worker.Fail, worker.Crash, worker.Silent, worker.Truncate)
			p.After = env.rnd.intN(3)
		}
		if faults[upstreamMixes] && env.rnd.chance(300) {
			p.Fault = pickOne(env.rnd, worker.Stray, worker.Duplicate, worker.Reorder)
		}
		return p
	}
}

// linkPlanner returns a function that draws how each call on a link goes.
func (faults faultSet) linkPlanner(env *environment) inmem.Planner {
	return func(inmem.Method) inmem.Plan {
		p := inmem.Plan{Delay: env.rnd.duration(linkDelay)}
		if faults[linkSilent] && env.rnd.chance(60) {
			p.Drop = env.rnd.chance(500)
			if !p.Drop {
				p.SilentAfter = 1 + env.rnd.intN(4)
			}
		}
		if faults[linkCut] && env.rnd.chance(80) {
			p.CutAfter = 1 + env.rnd.intN(4)
		}
		if faults[linkCopies] && env.rnd.chance(150) {
			p.DuplicateAfter = time.Millisecond + env.rnd.duration(6*time.Second)
			p.Drop = env.rnd.chance(300)
		}
		if faults[linkMixes] {
			p.DuplicateFrames = env.rnd.chance(100)
			p.SwapFrames = env.rnd.chance(50)
			p.StrayFrame = env.rnd.chance(150)
		}
		return p
	}
}

// run injects faults, which may overlap, until ctx ends; then it restores the log.
func (faults faultSet) run(ctx context.Context, env *environment) {
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			for sleep(ctx, 50*time.Millisecond+env.rnd.duration(700*time.Millisecond)) {
				faults.inject(ctx, env)
			}
		})
	}
	wg.Wait()
	env.log.SetDown(false)
	env.log.DelayAppend(0)
	env.log.Release()
}

func (faults faultSet) inject(ctx context.Context, env *environment) {
	h := env.hosts[env.rnd.intN(len(env.hosts))]
	switch f := faults.pickFault(env); f {
	case logDown, logLost, logLate, logSlow:
		faults.injectLogFault(ctx, env, f)
	case "":
	default:
		if h.faultMu.TryLock() {
			defer h.faultMu.Unlock()
			faults.injectHostFault(ctx, env, h, f)
		}
	}
}

func (faults faultSet) injectLogFault(ctx context.Context, env *environment, f fault) {
	switch f {
	case logDown:
		env.log.SetDown(true)
		sleep(ctx, env.rnd.duration(8*time.Second))
		env.log.SetDown(false)
	case logLost:
		env.log.LoseAnswers(1 + env.rnd.intN(3))
	case logLate:
		env.log.HoldAppends(1 + env.rnd.intN(3))
		sleep(ctx, env.rnd.duration(3*time.Second))
		env.log.Release()
	case logSlow:
		env.log.DelayAppend(env.rnd.duration(3 * time.Second))
		sleep(ctx, env.rnd.duration(3*time.Second))
		env.log.DelayAppend(0)
	}
}

func (faults faultSet) injectHostFault(ctx context.Context, env *environment, h *host, f fault) {
	switch f {
	case sideDies:
		h.killSide()
		sleep(ctx, env.rnd.duration(2*time.Second))
		h.start()
	case sidePauses:
		p := h.process()
		p.pause()
		sleep(ctx, env.rnd.duration(6*time.Second))
		p.unpause()
	case hostLeaves:
		hosts := env.hostsOf(h.pool.Name)
		env.emptyPools.hostLeft(h.pool.Name, hosts)
		h.drainAndStop(time.Minute)
		sleep(ctx, env.rnd.duration(time.Second))
		h.start()
		env.emptyPools.hostReturned(h.pool.Name, hosts)
	case upstreamDies:
		h.worker.Crash()
		sleep(ctx, env.rnd.duration(2*time.Second))
		h.worker.Restart()
	}
}

// pickFault draws one of the faults in force; it returns an empty one if there are none.
func (faults faultSet) pickFault(env *environment) fault {
	var candidates []fault
	for _, f := range allFaults {
		if faults[f] {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[env.rnd.intN(len(candidates))]
}

func pickOne[T any](r *lockedRand, from ...T) T { return from[r.intN(len(from))] }

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tokenCount returns the number of tokens that are generated for a body.
func tokenCount(body []byte) int { return 2 + len(body)%5 }
