package sched

import (
	"slices"
	"strings"
	"time"
)

const (
	refuseLateFor  = 1 * time.Second // how long late jobs are refused, unless started, after one has expired
	maxOverloadGap = 3 * time.Second // an overload ends when no late job expires for this long
)

// overload is a period in which late jobs expire while they wait for a set of pools.
type overload struct {
	pools      []string
	since      time.Time
	lastExpiry time.Time // when a late job last expired
}

// recordExpiry records that a late job was refused after it had waited too long for a call.
func (sc *Scheduler) recordExpiry(j *job, now time.Time) {
	pools := j.pools()
	key := strings.Join(pools, " ")
	o := sc.overloads[key]
	if o == nil || now.Sub(o.lastExpiry) > maxOverloadGap {
		o = &overload{pools: pools, since: now}
		sc.overloads[key] = o
	}
	o.lastExpiry = now
}

// overloadOf returns how long the pools that the job needs have been overloaded, and whether a late job has expired in
// them so recently that late jobs are refused.
func (sc *Scheduler) overloadOf(j *job, now time.Time) (duration time.Duration, ongoing bool) {
	pools := j.pools()
	for _, o := range sc.overloads {
		needed := !slices.ContainsFunc(o.pools, func(p string) bool { return !slices.Contains(pools, p) })
		if !needed || now.Sub(o.lastExpiry) > maxOverloadGap {
			continue
		}
		duration = max(duration, now.Sub(o.since))
		ongoing = ongoing || now.Sub(o.lastExpiry) < refuseLateFor
	}
	return duration, ongoing
}

// pools returns the names of the pools that the stages of the job need, sorted.
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
