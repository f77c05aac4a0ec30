package sched

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// keepWithheld tracks the upstreams of a pool whose zones are evacuated. They get no calls, but results that they hold
// can be read, also those of jobs that another scheduler began.
func (sc *Scheduler) keepWithheld(p *pool, withheld []hosts.Upstream) {
	for _, u := range withheld {
		w := sc.workerOf(p, u.ID)
		w.up, w.withheld = u, true
		w.mayHoldUntracked = p.spec.Headroom >= minProbedHeadroom // results there are not released meanwhile
	}
}

// isWithheld reports whether a pool has upstreams, but all are in evacuated zones.
func (p *pool) isWithheld() bool {
	if p.present() > 0 {
		return false
	}
	for _, w := range p.workers {
		if w.withheld {
			return true
		}
	}
	return false
}

// refuseWithheld refuses the jobs that need further calls to a pool whose upstreams are all in evacuated zones. Calls
// that run there go on.
func (sc *Scheduler) refuseWithheld(now time.Time) {
	withheld := map[string]bool{}
	for name, p := range sc.pools {
		if p.isWithheld() {
			withheld[name] = true
		}
	}
	if len(withheld) == 0 {
		return
	}
	for _, j := range sc.order {
		if !j.granted && slices.ContainsFunc(j.steps, func(s *step) bool {
			return len(s.pending) > 0 && withheld[s.spec.Pool]
		}) {
			sc.refuse(j, NoUpstreams, now)
		}
	}
}
