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

const linkDelay = 4 * time.Millisecond // at most, for a message on a link

// fault is one kind of trouble in the world.
type fault string

const (
	logDown       fault = "logDown"
	logLost       fault = "logLost" // answers lost after the effect
	logLate       fault = "logLate" // answers lost and the effect comes later
	logSlow       fault = "logSlow"
	sideDies      fault = "sideDies"
	sidePauses    fault = "sidePauses"
	hostLeaves    fault = "hostLeaves" // a planned stop
	upstreamDies  fault = "upstreamDies"
	upstreamSlow  fault = "upstreamSlow"
	upstreamFails fault = "upstreamFails" // refuses, fails, crashes, ends early, goes silent
	upstreamMixes fault = "upstreamMixes" // answers of others, doubled, reordered
	linkSilent    fault = "linkSilent"
	linkCut       fault = "linkCut"
	linkCopies    fault = "linkCopies" // late copies of calls
	linkMixes     fault = "linkMixes"  // frames doubled, reordered, of others
	poison        fault = "poison"     // a request that crashes each upstream that runs it
	burst         fault = "burst"
	entryDies     fault = "entryDies"
)

var allFaults = []fault{
	logDown, logLost, logLate, logSlow, sideDies, sidePauses, hostLeaves, upstreamDies, upstreamSlow, upstreamFails,
	upstreamMixes, linkSilent, linkCut, linkCopies, linkMixes, poison, burst, entryDies,
}

// chaos is the set of faults in force; it is fixed for a run.
type chaos map[fault]bool

func newChaos(faults ...fault) chaos {
	c := chaos{}
	for _, f := range faults {
		c[f] = true
	}
	return c
}

// upstream returns the fates of an upstream's calls.
func (c chaos) upstream(w *world, crash func()) func(upstream.Call) worker.Plan {
	return func(call upstream.Call) worker.Plan {
		p := worker.Plan{
			Delay:  time.Millisecond + w.rnd.duration(40*time.Millisecond),
			Step:   w.rnd.duration(10 * time.Millisecond),
			Tokens: tokensOf(call.Body),
		}
		if c[upstreamSlow] && w.rnd.chance(200) {
			p.Delay = w.rnd.duration(4 * time.Second)
		}
		if c[poison] && bytes.Contains(call.Body, []byte(`"poison":true`)) {
			time.AfterFunc(p.Delay/2, crash)
		}
		if c[upstreamFails] && w.rnd.chance(150) {
			p.Fault = pickOne(w.rnd, worker.RefuseConnection, worker.Refuse, worker.Fail, worker.Crash, worker.Silent, worker.Truncate)
			p.After = w.rnd.intN(3)
		}
		if c[upstreamMixes] && w.rnd.chance(300) {
			p.Fault = pickOne(w.rnd, worker.Stray, worker.Duplicate, worker.Reorder)
		}
		return p
	}
}

// link returns the fates of calls on a link.
func (c chaos) link(w *world) inmem.Planner {
	return func(inmem.Method) inmem.Plan {
		p := inmem.Plan{Delay: w.rnd.duration(linkDelay)}
		if c[linkSilent] && w.rnd.chance(60) {
			p.Drop = w.rnd.chance(500)
			if !p.Drop {
				p.SilentAfter = 1 + w.rnd.intN(4)
			}
		}
		if c[linkCut] && w.rnd.chance(80) {
			p.CutAfter = 1 + w.rnd.intN(4)
		}
		if c[linkCopies] && w.rnd.chance(150) {
			p.DuplicateAfter = time.Millisecond + w.rnd.duration(6*time.Second)
			p.Drop = w.rnd.chance(300)
		}
		if c[linkMixes] {
			p.DuplicateFrames = w.rnd.chance(100)
			p.SwapFrames = w.rnd.chance(50)
			p.StrayFrame = w.rnd.chance(150)
		}
		return p
	}
}

// run makes trouble until ctx ends, then puts everything right; troubles may overlap.
func (c chaos) run(ctx context.Context, w *world) {
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			for sleep(ctx, 50*time.Millisecond+w.rnd.duration(700*time.Millisecond)) {
				c.strike(ctx, w)
			}
		})
	}
	wg.Wait()
	w.log.SetDown(false)
	w.log.DelayAppend(0)
	w.log.Release()
}

func (c chaos) strike(ctx context.Context, w *world) {
	h := w.hosts[w.rnd.intN(len(w.hosts))]
	switch f := c.pick(w); f {
	case logDown, logLost, logLate, logSlow:
		c.strikeLog(ctx, w, f)
	case "":
	default:
		if h.busy.TryLock() {
			defer h.busy.Unlock()
			c.strikeHost(ctx, w, h, f)
		}
	}
}

func (c chaos) strikeLog(ctx context.Context, w *world, f fault) {
	switch f {
	case logDown:
		w.log.SetDown(true)
		sleep(ctx, w.rnd.duration(8*time.Second))
		w.log.SetDown(false)
	case logLost:
		w.log.LoseAnswers(1 + w.rnd.intN(3))
	case logLate:
		w.log.HoldAppends(1 + w.rnd.intN(3))
		sleep(ctx, w.rnd.duration(3*time.Second))
		w.log.Release()
	case logSlow:
		w.log.DelayAppend(w.rnd.duration(3 * time.Second))
		sleep(ctx, w.rnd.duration(3*time.Second))
		w.log.DelayAppend(0)
	}
}

func (c chaos) strikeHost(ctx context.Context, w *world, h *host, f fault) {
	switch f {
	case sideDies:
		h.die()
		sleep(ctx, w.rnd.duration(2*time.Second))
		h.start()
	case sidePauses:
		p := h.process()
		p.pause()
		sleep(ctx, w.rnd.duration(6*time.Second))
		p.goOn()
	case hostLeaves:
		hosts := w.hostsOf(h.pool.Name)
		w.absent.leave(h.pool.Name, hosts)
		h.leave(time.Minute)
		sleep(ctx, w.rnd.duration(time.Second))
		h.start()
		w.absent.back(h.pool.Name, hosts)
	case upstreamDies:
		h.worker.Crash()
		sleep(ctx, w.rnd.duration(2*time.Second))
		h.worker.Restart()
	}
}

// pick chooses one of the faults in force; none gives an empty one.
func (c chaos) pick(w *world) fault {
	var in []fault
	for _, f := range allFaults {
		if c[f] {
			in = append(in, f)
		}
	}
	if len(in) == 0 {
		return ""
	}
	return in[w.rnd.intN(len(in))]
}

func pickOne[T any](r *source, from ...T) T { return from[r.intN(len(from))] }

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

// tokensOf is the length of the generation that a body asks for.
func tokensOf(body []byte) int { return 2 + len(body)%5 }
