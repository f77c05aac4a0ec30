package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

const (
	tick           = 5 * time.Millisecond   // between calls of Schedule
	firstByteDelay = 150 * time.Millisecond // from the end of the stages to the first byte
	maxRetryDelay  = 200e6                  // ns that a caller lets pass after its retry time, at most
	slowFactor     = 5.0                    // by which calls of a slow upstream take longer
	fetchTime      = 40 * time.Millisecond  // from the turn of a call until its inputs are fetched
)

// event is a function to run at a point in time.
type event struct {
	at time.Time
	do func(now time.Time)
}

// upstream simulates a stage upstream, which runs one call at a time and has limited memory for results.
type upstream struct {
	size      int64            // memory for results, in bytes
	results   map[string]int64 // sizes in bytes, by handle
	used      int64            // bytes of all results
	busyUntil time.Time
	slowdown  float64 // factor by which calls take longer
	silent    bool    // answers no call
}

// outcome records what happened to one job.
type outcome struct {
	kind      string
	submitted time.Time
	target    time.Time
	decided   time.Time // granted or refused
	granted   bool
	firstByte time.Time // first byte of the answer
	started   bool      // at least one piece was in a call
	job       sched.Job
	first     time.Time // when the first attempt of its caller was submitted
	retryOf   string    // ID of the first attempt of its caller; empty for that one
}

// simulation simulates upstreams and callers around a scheduler, in virtual time.
type simulation struct {
	scheduler   *sched.Scheduler
	now         time.Time
	events      []event // by time, those of the same time in the order in which they were added
	upstreams   map[string]*upstream
	pools       map[string]rule.Batch
	jobs        map[string]*outcome
	random      *rand.Rand
	handles     int
	violations  []string                              // violated guarantees of the scheduler
	work        func(job string, stage int) float64   // run time of a piece, as a multiple of its pool's
	stored      map[string]bool                       // handles of all results that upstreams hold
	resultBytes map[string][]int64                    // sizes of results by kind of job and stage
	retries     bool                                  // callers retry once after a refusal
	disturbed   func(id string, at time.Time) float64 // if set, the factor by which work takes longer at an upstream
	statesLoad  bool                                  // answers state the load of their upstream
}

// newSimulation returns a simulation with the given numbers of upstreams by pool.
func newSimulation(pools map[string]rule.Batch, counts map[string]int, seed uint64) *simulation {
	sim := &simulation{
		scheduler: sched.New(noLimits()), now: start, upstreams: map[string]*upstream{}, pools: pools, jobs: map[string]*outcome{}, resultBytes: map[string][]int64{},
		stored: map[string]bool{},
		random: rand.New(rand.NewPCG(seed, 1)), work: func(string, int) float64 { return 1 },
	}
	for name, spec := range pools {
		sim.scheduler.SetPool(name, spec)
	}
	sim.scheduler.SetUpstreams(sim.table(counts))
	for name, spec := range pools {
		for i := range counts[name] {
			sim.upstreams[fmt.Sprintf("%s-%d", name, i)] = &upstream{
				size: spec.Headroom, results: map[string]int64{}, slowdown: 1}
		}
	}
	return sim
}

func (sim *simulation) table(counts map[string]int) *hosts.Table {
	var all []hosts.Upstream
	for name := range sim.pools {
		for i := range counts[name] {
			all = append(all, hosts.Upstream{
				ID: fmt.Sprintf("%s-%d", name, i), Pool: name, Zone: fmt.Sprintf("zone-%d", i%3), State: hosts.Ready,
			})
		}
	}
	return hosts.New(all, sim.now)
}

// after schedules an event d from now.
func (sim *simulation) after(d time.Duration, do func(now time.Time)) {
	e := event{at: sim.now.Add(d), do: do}
	later := sort.Search(len(sim.events), func(i int) bool { return sim.events[i].at.After(e.at) })
	sim.events = slices.Insert(sim.events, later, e)
}

// run advances the virtual time by d, processes the events that are due and calls the scheduler at every tick.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
			e := sim.events[0]
			sim.events = sim.events[1:]
			e.do(sim.now)
		}
		sim.carryOut(sim.scheduler.Schedule(sim.now))
	}
}

func (sim *simulation) submit(kind string, j sched.Job) {
	sim.jobs[j.ID] = &outcome{kind: kind, submitted: sim.now, target: j.Target, job: j, first: sim.now}
	sim.scheduler.Submit(j, sim.now)
}

// retry submits a refused job again after its retry time, with the target and the deadline of the first attempt.
func (sim *simulation) retry(r sched.Refusal) {
	first := sim.jobs[r.Job]
	sim.after(r.RetryAfter+time.Duration(maxRetryDelay*sim.random.Float64()), func(now time.Time) {
		if !now.Before(first.job.Deadline) {
			return
		}
		again := first.job
		again.ID += "-again"
		again.RequestID, again.Arrived, again.Retried = again.ID, now, true
		sim.submit(first.kind, again)
		sim.jobs[again.ID].retryOf, sim.jobs[again.ID].first = r.Job, first.first
	})
}

// carryOut carries out the output of the scheduler, and notes violations in it.
func (sim *simulation) carryOut(out sched.Output) {
	for _, g := range out.Grants {
		o := sim.jobs[g.Job]
		o.decided, o.granted = sim.now, true
		sim.after(firstByteDelay, func(now time.Time) {
			o.firstByte = now
			for _, h := range g.Inputs {
				if !sim.exists(h) {
					sim.violations = append(sim.violations, "granted with an input that is gone: "+h)
				}
			}
			sim.scheduler.Release(g.Job)
		})
	}
	for _, r := range out.Refusals {
		sim.jobs[r.Job].decided = sim.now
		if r.RetryAfter <= 0 {
			sim.violations = append(sim.violations, "refused without a retry time")
		}
		if sim.retries && sim.jobs[r.Job].retryOf == "" {
			sim.retry(r)
		}
	}
	for _, r := range out.Releases {
		u := sim.upstreams[r.Upstream.ID]
		for _, h := range r.Handles {
			u.used -= u.results[h]
			delete(sim.stored, h)
			delete(u.results, h)
		}
	}
	for _, b := range out.Batches {
		sim.startCall(b)
	}
}

func (sim *simulation) exists(handle string) bool {
	return sim.stored[handle]
}

// startCall runs a call after the calls that the upstream already has.
func (sim *simulation) startCall(b sched.Batch) {
	u := sim.upstreams[b.Upstream.ID]
	if u.silent {
		return
	}
	spec := sim.pools[b.Upstream.Pool]
	callTime := spec.Call
	for _, it := range b.Items {
		sim.jobs[it.RequestID].started = true
		callTime += time.Duration(sim.work(it.RequestID, it.Stage) * float64(spec.Piece))
	}
	if len(b.Items) > spec.Size {
		sim.violations = append(sim.violations, "a call holds too many pieces")
	}
	callStart := sim.now
	if u.busyUntil.After(callStart) {
		callStart = u.busyUntil
	}
	gone := make([]bool, len(b.Items)) // an input of the item was gone when the call fetched it
	sim.after(callStart.Add(fetchTime).Sub(sim.now), func(time.Time) {
		for i, it := range b.Items {
			gone[i] = slices.ContainsFunc(it.Inputs, func(h string) bool { return !sim.exists(h) })
		}
	})
	u.busyUntil = callStart.Add(sim.durationAt(b.Upstream.ID, callStart, time.Duration(u.slowdown*float64(callTime))))
	sim.after(u.busyUntil.Sub(sim.now), func(now time.Time) {
		results := make([]call.Result, len(b.Items))
		for i, it := range b.Items {
			results[i] = sim.result(u, gone[i], sim.sizeOf(it))
		}
		if sim.statesLoad {
			percent := int(100 * sim.disturbed(b.Upstream.ID, now))
			sim.scheduler.ObserveLoad(b.Upstream.Lifetime(), call.Load{Running: 1, Slots: 1, TimePercent: percent}, now)
		}
		sim.scheduler.CallFinished(b.ID, results, now)
	})
}

// durationAt returns how long work takes that begins at an upstream at the given time.
func (sim *simulation) durationAt(id string, from time.Time, work time.Duration) time.Duration {
	if sim.disturbed == nil {
		return work
	}
	at := from
	for ; work > 0; at = at.Add(tick) {
		work -= time.Duration(float64(tick) / sim.disturbed(id, at))
	}
	return at.Sub(from)
}

func (sim *simulation) sizeOf(it call.Item) int64 {
	return sim.resultBytes[sim.jobs[it.RequestID].kind][it.Stage]
}

// result runs one piece at the end of its call: it stores a result unless an input was gone or the memory is full.
func (sim *simulation) result(u *upstream, gone bool, bytes int64) call.Result {
	if gone {
		return call.Result{Failure: call.FailedInputGone}
	}
	if u.used+bytes > u.size {
		return call.Result{Failure: call.FailedNoMemory}
	}
	sim.handles++
	h := fmt.Sprintf("h%d", sim.handles)
	u.results[h] = bytes
	sim.stored[h] = true
	u.used += bytes
	return call.Result{Handle: h}
}
