package sched

import (
	"cmp"
	"slices"
	"time"
)

// Outlook is what would become of a job that were submitted now.
type Outlook struct {
	Refused    Reason // empty if the job would be scheduled
	RetryAfter time.Duration
	Late       bool // it is not expected to meet its target
	Stages     []StageOutlook
}

// StageOutlook is what a stage would meet in its pool.
type StageOutlook struct {
	Demand
	Pieces     int
	Wait       time.Duration // expected until a call takes it
	Call       time.Duration // expected of that call
	Candidates []Candidate   // in the order in which they would be tried
}

// State is what keeps an upstream from a call, or StateFree.
type State string

// The states of a stage upstream.
const (
	StateFree    State = "free"
	StateBusy    State = "busy"    // with a call in flight
	StateSlow    State = "slow"    // waits for its next test
	StatePaused  State = "paused"  // takes no call for now, or is out of memory for results
	StateLimited State = "limited" // named a limit that is used up
)

// Candidate is one upstream of a stage pool.
type Candidate struct {
	ID, Zone  string
	State     State
	Class     int           // by its speed now; the lowest is preferred
	Usual     time.Duration // of a call with the pieces of the stage
	Expected  time.Duration // of such a call here now
	Slowness  float64       // learned
	HasLoad   bool          // it has stated its load
	LoadAge   time.Duration // since then
	UsedBytes int64         // by results
}

// Explain returns what would become of a job that were submitted now. It changes nothing.
func (sc *Scheduler) Explain(spec Job, now time.Time) Outlook {
	j := newJob(spec, now)
	if sc.policy != nil {
		defer sc.SetPolicy(sc.policy)
		sc.SetPolicy(sc.policy.Clone())
		sc.now = now
		j.limitTarget()
	}
	var out Outlook
	refusal, refused := sc.admit(j, now)
	if refused {
		out.Refused, out.RetryAfter = refusal.Reason, refusal.RetryAfter
	}
	out.Late = j.late
	for _, s := range j.steps {
		p := sc.pools[s.spec.Pool]
		stage := StageOutlook{Demand: Demand{Pool: s.spec.Pool}, Pieces: s.spec.Pieces}
		if p != nil && s.spec.Pieces > 0 {
			stage.Demand = sc.demand(s.spec.Pool, p, now)
			stage.Wait, stage.Call = sc.expectedWait(s.spec.Pool), sc.expectedCallTime(s)
			if sc.policy != nil {
				stage.Wait = sc.rankedWait(p, s, j.claimRank, now)
			}
			stage.Candidates = sc.candidates(p, min(s.spec.Pieces, p.spec.Size), now)
		}
		out.Stages = append(out.Stages, stage)
	}
	return out
}

// candidates lists the present upstreams of a pool for a call with so many pieces: those that can take it first, in the
// order of freeWorkers up to the random choice among those that are alike.
func (sc *Scheduler) candidates(p *pool, pieces int, now time.Time) []Candidate {
	var workers []*worker
	for _, w := range p.workers {
		if w.present {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, c *worker) int {
		return cmp.Or(falseFirst(sc.state(a, now) != StateFree, sc.state(c, now) != StateFree), compareFree(a, c),
			cmp.Compare(a.up.ID, c.up.ID))
	})
	usual := p.usualCallTime(pieces) + overheadPerCall
	out := make([]Candidate, 0, len(workers))
	for _, w := range workers {
		age, hasLoad := w.speed.Age(now)
		out = append(out, Candidate{
			ID: w.up.ID, Zone: w.up.Zone, State: sc.state(w, now), Class: w.class, Usual: usual,
			Expected: w.speed.Duration(usual, now), Slowness: w.speed.Slowness(), HasLoad: hasLoad, LoadAge: age,
			UsedBytes: w.usedBytes + w.untracked,
		})
	}
	return out
}

// state returns what keeps a present upstream from a call.
func (sc *Scheduler) state(w *worker, now time.Time) State {
	switch {
	case w.running != nil:
		return StateBusy
	case now.Before(w.pausedUntil) || now.Before(w.fullUntil):
		return StatePaused
	case w.slow() && now.Before(w.retestAt):
		return StateSlow
	case sc.limits.Wait(w.up.Lifetime()) > 0:
		return StateLimited
	}
	return StateFree
}
