package sched

import (
	"slices"
	"strings"
	"time"
)

const (
	noLateFor    = 1 * time.Second // after a late job waited in vain, no others are taken
	overloadOver = 3 * time.Second // without such a job, an overload is over
)

// overload is a time in which late jobs wait in vain for a set of pools.
type overload struct {
	pools  []string
	since  time.Time
	newest time.Time // when a job last waited in vain
}

// inVain notes that a late job waited for a call until it had to be refused.
func (b *Scheduler) inVain(j *job, now time.Time) {
	pools := j.pools()
	key := strings.Join(pools, " ")
	o := b.overloads[key]
	if o == nil || now.Sub(o.newest) > overloadOver {
		o = &overload{pools: pools, since: now}
		b.overloads[key] = o
	}
	o.newest = now
}

// overloaded says for how long late jobs have waited in vain for pools that a job needs too, and whether they still do.
func (b *Scheduler) overloaded(j *job, now time.Time) (lasted time.Duration, still bool) {
	pools := j.pools()
	for _, o := range b.overloads {
		needed := !slices.ContainsFunc(o.pools, func(p string) bool { return !slices.Contains(pools, p) })
		if !needed || now.Sub(o.newest) > overloadOver {
			continue
		}
		lasted = max(lasted, now.Sub(o.since))
		still = still || now.Sub(o.newest) < noLateFor
	}
	return lasted, still
}

// pools lists the pools that the stages of a job need.
func (j *job) pools() []string {
	var out []string
	for _, s := range j.steps {
		if s.spec.Pieces > 0 {
			out = append(out, s.spec.Pool)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
