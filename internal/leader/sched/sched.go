package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/limit/fair"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/route/speed"
)

const (
	minZoneBytes         = 200_000                // smallest input for which a step prefers a zone
	splitBacklog         = 2                      // backlog, in full calls, above which steps may be split between calls
	maxZoneWait          = 150 * time.Millisecond // a step that waited this long may leave its preferred zone
	zoneBonus            = 150 * time.Millisecond // urgency that a step loses in other zones than its preferred one
	stepForecastMargin   = 100 * time.Millisecond // safety margin of forecasts for a step
	urgencyPerRank       = 100 * time.Millisecond
	lateHoldFraction     = 0.08                   // of the time to its deadline that a late job waits for its first call
	maxHoldFraction      = 0.6                    // of the time to its deadline after which a waiting job is refused
	maxLateStepWait      = 600 * time.Millisecond // between two calls of a late job
	maxRestarts          = 2                      // of a job whose results were lost
	maxFailures          = 4                      // failed calls or pieces of one step
	noMemoryPause        = 100 * time.Millisecond // without calls, after a lack of memory for results or of a slot
	minBackoff           = 300 * time.Millisecond // after a failed call; doubles with each further one
	maxBackoff           = 2 * time.Second
	hedgeFactor          = 1.5 // a call is hedged after this multiple of its expected duration,
	hedgeQueuedFactor    = 3.0 // or after this one while other steps wait for the pool
	hedgeSlack           = 60 * time.Millisecond
	retestInterval       = 700 * time.Millisecond
	averageSmoothing     = 0.15                   // weight of a new value in the averages of a pool
	minProbedHeadroom    = 4_000_000              // bytes; reports are in whole MB, too coarse for less memory
	reportResolution     = 1_000_000              // bytes by which a report of free memory may be too low
	minUntrackedDivisor  = 8                      // untracked results count if they exceed headroom/8
	untrackedPeriod      = 1 * time.Second        // how long untracked results are assumed after a piece found no memory
	usableFraction       = 0.95                   // of the headroom, as sizes of results are approximate
	probeInterval        = 500 * time.Millisecond // while an upstream holds untracked results
	overheadPerCall      = 4 * time.Millisecond
	minRetryAfter        = 1 * time.Second
	retryBacklogFactor   = 2                      // new work keeps arriving while queued work is done
	retryDeadlineDivisor = 3                      // callers retry within a third of the time that they have left
	timeoutFactor        = 5                      // a call times out after this multiple of its expected duration,
	minTimeout           = 1 * time.Second        // but not before
	timeoutGrace         = 200 * time.Millisecond // after the timeout, until the scheduler itself fails the call
)

// Batch is a call to make to a stage upstream.
type Batch struct {
	ID           int64
	Upstream     hosts.Upstream
	Items        []call.Item
	Usual        time.Duration // of such a call, by the configuration
	Expected     time.Duration
	Timeout      time.Duration  // timeout of the call
	Speed        speed.Estimate // of the upstream when the call was scheduled
	QueuedInTime int            // pieces of jobs that can meet their target, still queued in the pool
	QueuedLate   int            // pieces of late jobs, still queued in the pool
	FreeBytes    int64          // free bytes for results on the upstream after this call
}

// Grant reports that all stages of a job are done and the request can run.
type Grant struct {
	Job    string
	Inputs []string         // handles of the results that the request reads
	ByZone map[string]int64 // bytes of those results by zone
	Late   bool
}

// Reason is why a job is refused.
type Reason string

// The reasons for a refusal.
const (
	Overloaded  Reason = "overloaded"  // the queues are too long for its deadline
	Expired     Reason = "expired"     // it waited too long for a call
	NoUpstreams Reason = "noUpstreams" // a pool has no ready upstream
	Failing     Reason = "failing"     // its calls failed or its results were lost too often
	Limited     Reason = "limited"     // all upstreams have named limits, which other requests use up
	Paused      Reason = "paused"      // all engines have paused requests from its entry
	Quarantined Reason = "quarantined" // requests like it crash upstreams
	Unrecorded  Reason = "unrecorded"  // the store does not acknowledge the record that its stream needs
	NoVersion   Reason = "noVersion"   // no engine of the version that began its stream is ready
	NoOrigin    Reason = "noOrigin"    // the version that began its stream is not known
)

// Refusal reports that a job will not run.
type Refusal struct {
	Job        string
	Reason     Reason
	RetryAfter time.Duration
	Pool       string // most in demand of those that the job needs; empty unless jobs compete by rank
}

// Release lists results that an upstream can drop.
type Release struct {
	Upstream hosts.Upstream
	Handles  []string
}

// Output lists the actions that the owner of a Scheduler has to carry out.
type Output struct {
	Batches     []Batch
	Grants      []Grant
	Refusals    []Refusal
	Releases    []Release
	Handovers   []Handover
	Checkpoints []Checkpoint
	Probes      []hosts.Upstream // to be asked for their free memory; see SetFreeMemory
}

// worker is a stage upstream with its scheduling state.
type worker struct {
	up               hosts.Upstream
	present          bool // takes work
	withheld         bool // would take work if its zone were not evacuated
	running          *activeCall
	usedBytes        int64 // by tracked results and those of the call in flight
	speed            speed.Estimate
	class            int           // by its speed now, among those of its pool; the lowest is preferred
	tie              uint64        // random; orders upstreams that are alike
	backoff          time.Duration // length of the last pause after a failed call
	pausedUntil      time.Time     // no calls until then, after failures or at the upstream's request
	fullUntil        time.Time     // no calls until then, after a piece found no memory for its result
	retestAt         time.Time     // when a slow upstream gets its next step
	held             map[string]held
	untracked        int64 // bytes of results that this scheduler does not track
	mayHoldUntracked bool  // it is new here, or a piece found no memory; until its next report
	untrackedUntil   time.Time
	nextProbe        time.Time // no probe before then
}

// held is a result that occupies memory of the upstream that produced it.
type held struct {
	job     *job // that the result belongs to
	bytes   int64
	expires time.Time
}

// part lists the pieces of one step in a call.
type part struct {
	step     *step
	pieces   []int
	detached bool // the job has started over since, so the outcome doesn't count
}

// activeCall is a call in flight.
type activeCall struct {
	id        int64
	worker    *worker
	parts     []part
	startedAt time.Time
	usual     time.Duration // on an upstream of usual speed that others leave alone
	reference time.Duration // expected if the upstream were as fast as the others of its pool
	expected  time.Duration
	timeout   time.Duration
	bytes     int64
	hedged    bool
}

// pool is a stage pool. Its averages are exponential moving averages.
type pool struct {
	spec         rule.Batch
	workers      map[string]*worker
	ready        []*step
	avgWait      time.Duration // of steps that are in time
	avgCallTime  time.Duration // expected duration of recent calls
	avgBatchSize float64       // pieces of a call while others wait
	avgBusy      float64       // upstreams with a call in flight while pieces wait
	lastObserved time.Time
	lastExpired  time.Time   // when results were last scanned for expiry
	congestedAt  time.Time   // when pieces last queued, as all upstreams were busy
	rankedValid  bool        // ranked is up to date
	lackedAt     time.Time   // when in-time work last waited for memory for results
	slotsLeft    float64     // part of the pool that admitted work leaves, as of the last step
	rankedLarge  map[int]int // as ranked, of steps with large results
	ranked       map[int]int // pieces of in-time jobs that are in no call, by rank
	countsValid  bool        // counts is up to date
	counts       workerCounts
	speed        poolSpeed
}

// workerCounts counts the upstreams of a pool that are listed and ready.
type workerCounts struct {
	present     int
	busy        int // with a call in flight
	unavailable int // with a call in flight, or slow
}

// Scheduler assigns the pieces of jobs to stage upstreams. It is not safe for concurrent use; one goroutine owns it.
type Scheduler struct {
	limits      *pace.Limiter[hosts.Lifetime]
	pools       map[string]*pool
	jobs        map[string]*job
	order       []*job // in order of submission; may contain jobs that are gone
	calls       map[int64]*activeCall
	nextID      int64
	output      Output
	toRelease   map[string][]string    // handles by upstream
	workersByID map[string]*worker     // their present lifetimes
	affected    map[*job]bool          // jobs that may have lost results
	overloads   map[string]*overload   // by pool names, joined by spaces
	now         time.Time              // of the last event
	lateAhead   map[int]map[string]int // waiting pieces of late jobs by rank and pool, as of the last step
	policy      *fair.Policy           // nil unless jobs compete by rank
	random      func() uint64          // orders upstreams that are alike
}

// New returns a scheduler without pools, which starts no more calls than limits allows.
func New(limits *pace.Limiter[hosts.Lifetime]) *Scheduler {
	return &Scheduler{
		limits: limits,
		pools:  map[string]*pool{}, jobs: map[string]*job{}, calls: map[int64]*activeCall{},
		toRelease: map[string][]string{}, workersByID: map[string]*worker{}, affected: map[*job]bool{},
		overloads: map[string]*overload{}, lateAhead: map[int]map[string]int{}, random: rand.Uint64,
	}
}

// SetPool adds a pool or updates its settings.
func (sc *Scheduler) SetPool(name string, spec rule.Batch) {
	p := sc.pools[name]
	if p == nil {
		p = &pool{workers: map[string]*worker{}}
		sc.pools[name] = p
	}
	p.spec = spec
	if p.avgBatchSize == 0 {
		p.avgBatchSize = float64(spec.Size)
	}
}

// SetUpstreams replaces the known upstreams of all pools. The results of an upstream that has restarted are lost.
func (sc *Scheduler) SetUpstreams(t *hosts.Table) {
	for id, w := range sc.workersByID {
		if u, listed := t.Get(id); listed && (u.Lifetime() != w.up.Lifetime() || u.Pool != w.up.Pool) {
			sc.endLifetime(w)
		}
	}
	for name, p := range sc.pools {
		for _, w := range p.workers {
			w.present, w.withheld = false, false
		}
		for _, u := range t.Ready(name) {
			w := sc.workerOf(p, u.ID)
			w.up, w.present = u, true
		}
		sc.keepWithheld(p, t.Withheld(name))
		p.countsValid = false
		for id, w := range p.workers {
			if !w.present && !w.withheld && w.running == nil && len(w.held) == 0 {
				delete(p.workers, id)
				delete(sc.workersByID, id)
			}
		}
	}
}

// workerOf returns the worker of an upstream of a pool, a new one if there is none.
func (sc *Scheduler) workerOf(p *pool, id string) *worker {
	w := p.workers[id]
	if w == nil {
		w = &worker{speed: speed.New(), held: map[string]held{}, mayHoldUntracked: p.spec.Headroom >= minProbedHeadroom}
		p.workers[id] = w
		sc.workersByID[id] = w
	}
	return w
}

// endLifetime forgets an upstream that has restarted, and marks the jobs that it held results of.
func (sc *Scheduler) endLifetime(w *worker) {
	for _, h := range w.held {
		sc.affected[h.job] = true
	}
	delete(sc.workersByID, w.up.ID)
	delete(sc.toRelease, w.up.ID)
	delete(sc.pools[w.up.Pool].workers, w.up.ID)
}

// Submit adds a job or refuses it at once. A job whose ID is known is ignored.
func (sc *Scheduler) Submit(spec Job, now time.Time) {
	if sc.jobs[spec.ID] != nil {
		return
	}
	sc.now = now
	j := newJob(spec, now)
	if sc.policy != nil {
		j.limitTarget()
	}
	if refusal, refused := sc.admit(j, now); refused {
		sc.output.Refusals = append(sc.output.Refusals, refusal)
		return
	}
	if sc.policy != nil {
		sc.countAdmitted(j, now)
	}
	sc.jobs[spec.ID] = j
	sc.order = append(sc.order, j)
	sc.resume(j, now)
	sc.enqueue(j.unblock(now))
	sc.grantIfDone(j)
}

// Cancel removes a job and releases its results; unknown jobs are ignored.
func (sc *Scheduler) Cancel(id string) {
	j := sc.jobs[id]
	if j == nil {
		return
	}
	delete(sc.jobs, id)
	for _, s := range j.steps {
		sc.unqueue(s)
		sc.releaseStep(s)
	}
}

// CancelAll cancels all jobs.
func (sc *Scheduler) CancelAll() {
	for _, id := range sortedKeys(sc.jobs) {
		sc.Cancel(id)
	}
}

// Jobs returns the number of jobs that are neither refused nor released.
func (sc *Scheduler) Jobs() int { return len(sc.jobs) }

// Queued returns the number of pieces that are in no call.
func (sc *Scheduler) Queued() int {
	n := 0
	for _, p := range sc.pools {
		inTime, late := p.queued()
		n += inTime + late
	}
	return n
}

// Release releases all results of a job whose request has read them.
func (sc *Scheduler) Release(id string) { sc.Cancel(id) }

// ReleaseResults releases the results of a job whose request has read them. The job stays, so that it can be restarted.
func (sc *Scheduler) ReleaseResults(id string) {
	if j := sc.jobs[id]; j != nil {
		for _, s := range j.steps {
			sc.releaseStep(s)
		}
	}
}

// Restart runs all stages of a job again after results of it were lost. It reports false if the job is unknown or was
// restarted too often.
func (sc *Scheduler) Restart(id string, now time.Time) bool {
	j := sc.jobs[id]
	if j == nil || j.restarts >= maxRestarts {
		return false
	}
	j.restarts++
	j.granted = false
	for _, s := range j.steps {
		sc.unqueue(s)
		sc.releaseStep(s)
		if len(s.spec.After) > 0 {
			sc.detach(s)
		}
		s.reset()
	}
	sc.enqueue(j.unblock(now))
	return true
}

// CallFinished records the results of a call, in the order of its items.
func (sc *Scheduler) CallFinished(id int64, results []call.Result, now time.Time) {
	r := sc.calls[id]
	if r == nil {
		return
	}
	sc.endCall(r)
	w := r.worker
	w.backoff = 0
	w.speed = w.speed.WithCall(now.Sub(r.startedAt), r.usual, r.reference, now)
	at := 0
	for _, p := range r.parts {
		for _, piece := range p.pieces {
			sc.recordResult(r, p, piece, results[at], now)
			at++
		}
		if p.detached {
			continue
		}
		sc.advanceJob(p.step, now)
		p.step.job.hasNewProgress = true
	}
}

// Pause keeps calls from an upstream until the given time; unknown lifetimes are ignored.
func (sc *Scheduler) Pause(l hosts.Lifetime, until time.Time) {
	if w := sc.worker(l); w != nil {
		w.pause(until)
	}
}

func (w *worker) pause(until time.Time) {
	if until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// CallFailed records a call that returned no results; busy means that the upstream had no free slot for it.
func (sc *Scheduler) CallFailed(id int64, busy bool, now time.Time) {
	r := sc.calls[id]
	if r == nil {
		return
	}
	sc.endCall(r)
	w := r.worker
	w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
	if busy {
		w.backoff = noMemoryPause
	}
	w.pause(now.Add(w.backoff))
	for _, p := range r.parts {
		if p.detached {
			continue
		}
		if !busy {
			p.step.failures++
		}
		for _, piece := range p.pieces {
			sc.requeue(p.step, piece)
		}
		sc.advanceJob(p.step, now)
	}
}

func (sc *Scheduler) endCall(r *activeCall) {
	delete(sc.calls, r.id)
	if r.worker.running == r {
		r.worker.running = nil
	}
	sc.pools[r.worker.up.Pool].countsValid = false
	r.worker.usedBytes -= r.bytes
}

// recordResult records the outcome of one piece of a part.
func (sc *Scheduler) recordResult(r *activeCall, p part, piece int, got call.Result, now time.Time) {
	w, s := r.worker, p.step
	switch got.Failure {
	case "":
		sc.addResult(w, p, piece, got.Handle, now)
		return
	case call.FailedNoMemory:
		w.fullUntil = now.Add(noMemoryPause)
		w.mayHoldUntracked = sc.pools[s.spec.Pool].spec.Headroom >= minProbedHeadroom
		w.nextProbe = now
		w.untracked += s.spec.ResultBytes
		w.untrackedUntil = now.Add(untrackedPeriod)
	case call.FailedInputGone:
		// Which input is lost is not known, unless this scheduler knows it, too. If a hedge of the call finished first, the
		// inputs may have been released since; this is no loss.
		if !p.detached && sc.needsResult(s, piece) && sc.holdsInputs(s) {
			if !sc.Restart(s.job.ID, now) {
				sc.refuse(s.job, Failing, now)
			}
			return
		}
	default:
		if !p.detached {
			s.failures++
		}
	}
	if !p.detached {
		sc.requeue(s, piece)
	}
}

// addResult records the result of one piece of a part. It is released if it is not needed, and lost if its producer has
// restarted since the call began.
func (sc *Scheduler) addResult(w *worker, p part, piece int, handle string, now time.Time) {
	s := p.step
	if sc.worker(w.up.Lifetime()) != w {
		if !p.detached {
			sc.requeue(s, piece)
		}
		return
	}
	w.addResult(handle, s.job, s.spec.ResultBytes, now.Add(sc.pools[s.spec.Pool].spec.ResultRetention))
	if p.detached || !sc.needsResult(s, piece) {
		sc.releaseResult(w, handle)
		return
	}
	s.results[piece] = result{handle: handle, producer: w.up.Lifetime(), zone: w.up.Zone, bytes: s.spec.ResultBytes}
	s.markDone(piece)
}

// needsResult reports whether a step still needs the result of a piece.
func (sc *Scheduler) needsResult(s *step, piece int) bool {
	return sc.jobs[s.job.ID] == s.job && s.results[piece].handle == "" && s.state != stepDone
}

// requeue makes a piece pending, unless it has a result or is pending already.
func (sc *Scheduler) requeue(s *step, piece int) {
	if !sc.needsResult(s, piece) || slices.Contains(s.pending, piece) {
		return
	}
	s.pending = append(s.pending, piece)
	if !sc.holdsInputs(s) {
		sc.affected[s.job] = true
	}
	if s.state == stepRunning {
		s.state = stepReady
		sc.enqueue([]*step{s})
	}
}

// advanceJob completes the step if it has all its results and makes the steps ready that depend on it, or refuses the
// job if the step has failed too often.
func (sc *Scheduler) advanceJob(s *step, now time.Time) {
	j := s.job
	if sc.jobs[j.ID] != j || s.state == stepDone {
		return
	}
	if s.failures > maxFailures {
		sc.refuse(j, Failing, now)
		return
	}
	if s.missing > 0 {
		return
	}
	sc.unqueue(s)
	s.state = stepDone
	sc.enqueue(j.unblock(now))
	sc.releaseConsumed(j)
	sc.grantIfDone(j)
}

// grantIfDone grants a job whose stages are all done.
func (sc *Scheduler) grantIfDone(j *job) {
	if j.granted || sc.jobs[j.ID] != j || !j.done() {
		return
	}
	j.granted = true
	handles, byZone := j.outputs()
	sc.output.Grants = append(sc.output.Grants, Grant{Job: j.ID, Inputs: handles, ByZone: byZone, Late: j.late})
}

func (sc *Scheduler) refuse(j *job, reason Reason, now time.Time) {
	if sc.jobs[j.ID] != j {
		return
	}
	sc.Cancel(j.ID)
	sc.output.Refusals = append(sc.output.Refusals, Refusal{Job: j.ID, Reason: reason, RetryAfter: sc.retryAfter(j, now), Pool: sc.scarcePool(j, now)})
}

func (sc *Scheduler) enqueue(steps []*step) {
	for _, s := range steps {
		if p := sc.pools[s.spec.Pool]; p != nil && !s.job.recalled && !slices.Contains(p.ready, s) {
			p.ready = append(p.ready, s)
			p.rankedValid = false
		}
	}
}

func (sc *Scheduler) unqueue(s *step) {
	if p := sc.pools[s.spec.Pool]; p != nil {
		p.ready = slices.DeleteFunc(p.ready, func(o *step) bool { return o == s })
		p.rankedValid = false
	}
}

// Schedule assigns ready pieces to free upstreams and returns the actions to carry out.
func (sc *Scheduler) Schedule(now time.Time) Output {
	sc.now = now
	for _, p := range sc.pools {
		p.updateSpeed(now)
		sc.expireResults(p, now)
		p.rankedValid = false
	}
	sc.reopenAffected(now)
	sc.hedge(now)
	sc.releaseRead(now)
	sc.order = slices.DeleteFunc(sc.order, func(j *job) bool { return sc.jobs[j.ID] != j })
	sc.refuseExpired(now)
	sc.refuseWithheld(now)
	sc.handOverRecalled(now)
	sc.reportCheckpoints(now)
	for name, p := range sc.pools {
		if sc.policy != nil {
			p.slotsLeft = sc.policy.Left(name, anyRank, p.capacity(), now)
		}
		if p.congested() {
			p.congestedAt = now
		}
	}
	sc.markLate(now)
	for _, name := range sortedKeys(sc.pools) {
		sc.assign(sc.pools[name], now)
		sc.pools[name].updateAvgBusy(now)
		sc.probe(sc.pools[name], now)
	}
	out := sc.output
	sc.output = Output{}
	for _, id := range sortedKeys(sc.toRelease) {
		if w := sc.workersByID[id]; w != nil {
			out.Releases = append(out.Releases, Release{Upstream: w.up, Handles: sc.toRelease[id]})
		}
	}
	clear(sc.toRelease)
	return out
}

// refuseExpired refuses jobs that have waited too long, and late jobs that have not started during an overload.
func (sc *Scheduler) refuseExpired(now time.Time) {
	for _, j := range sc.order {
		if j.granted {
			continue
		}
		allowed, waited := float64(j.Deadline.Sub(j.Arrived)), now.Sub(j.submitted)
		switch {
		case waited > time.Duration(maxHoldFraction*allowed):
			sc.refuse(j, Expired, now)
		case j.late && !j.started && waited > time.Duration(lateHoldFraction*allowed),
			j.late && j.stalledFor(now) > maxLateStepWait:
			sc.recordExpiry(j, now)
			sc.refuse(j, Expired, now)
		case j.late && !j.started:
			if sc.overloadedFor(j, now) {
				sc.refuse(j, Overloaded, now)
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
