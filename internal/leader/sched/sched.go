package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

const (
	minHomeBytes    = 200_000                // input that is worth staying in its zone for
	fullCalls       = 2                      // so many of them have to wait before calls share the pieces of a step
	crossAfter      = 150 * time.Millisecond // a step that waited this long may leave the zone of its input
	homeWorth       = 150 * time.Millisecond // urgency that a step is given up for another one that belongs to the zone
	forecastMargin  = 100 * time.Millisecond // by which forecasts are on the safe side
	rankStep        = 100 * time.Millisecond // a rank's worth of urgency
	lateHold        = 0.08                   // part of its time that a late job waits for its first call
	longestHold     = 0.6                    // part of its time after which a job without an engine is refused
	longestStepWait = 600 * time.Millisecond // that a late job waits between two of its calls
	maxRestarts     = 2                      // of a job whose results were lost
	maxFailures     = 4                      // calls of one step that failed
	roomPause       = 100 * time.Millisecond // an upstream that had no room for results gets no calls
	firstPause      = 300 * time.Millisecond // after a failed call; doubles
	longestPause    = 2 * time.Second
	hedgeFactor     = 1.5 // a call that takes longer than this multiple of its expected time runs elsewhere too,
	hedgeBusyFactor = 3.0 // or than this one while other steps wait for the pool
	hedgeSlack      = 60 * time.Millisecond
	speedSmoothing  = 0.4
	slowFactor      = 1.7 // upstreams slower than this get single steps, to see whether they still are
	retestEvery     = 700 * time.Millisecond
	loadSmoothing   = 0.15                   // of the usual wait and length of calls
	minProbed       = 4_000_000              // bytes of memory below which reports, in whole MB, say too little
	reportStep      = 1_000_000              // bytes by which a report may be too low
	foreignPart     = 8                      // results of unknown origin count from this part of the memory on
	foreignFor      = 1 * time.Second        // results of unknown origin are assumed after a piece found no room
	roomPart        = 0.95                   // of an upstream's memory that is planned with, as sizes of results are approximate
	probeEvery      = 500 * time.Millisecond // while results of unknown origin occupy an upstream
	overheadPerCall = 4 * time.Millisecond
	minRetryAfter   = 1 * time.Second
	retryFactor     = 2                      // new work keeps coming while queued work is done
	retryPart       = 3                      // callers come back within one part in so many of the time they have left
	limitFactor     = 5                      // a call that takes longer than this multiple of its expected time is given up,
	leastLimit      = 1 * time.Second        // but not before
	limitSlack      = 200 * time.Millisecond // after which the board itself gives the call up
)

// Batch is a call to make.
type Batch struct {
	ID       int64
	Upstream hosts.Upstream
	Items    []call.Item
	Expected time.Duration
	Limit    time.Duration // after which the call is to be given up
	InTime   int           // pieces that wait for another call of the pool, of jobs that can meet their target
	Late     int           // and of those that can't
	Room     int64         // bytes for results that the upstream has left
}

// Grant says that all stages of a job are done.
type Grant struct {
	Job    string
	Inputs []string         // handles that the request reads
	ByZone map[string]int64 // bytes of those results by zone
	Late   bool
}

// Reason says why a job is refused.
type Reason string

// The reasons.
const (
	Overloaded  Reason = "overloaded"  // the queues are too long for its deadline
	Expired     Reason = "expired"     // it waited too long for its first call
	NoUpstreams Reason = "noUpstreams" // a pool has no upstream
	Failing     Reason = "failing"     // its calls failed too often
	Paused      Reason = "paused"      // no engine wants requests of its entry for now
)

// Refusal says that a job does not run.
type Refusal struct {
	Job        string
	Reason     Reason
	RetryAfter time.Duration
}

// Release gives up results at their maker.
type Release struct {
	Upstream hosts.Upstream
	Handles  []string
}

// Output is what the owner of a board has to carry out.
type Output struct {
	Batches   []Batch
	Grants    []Grant
	Refusals  []Refusal
	Releases  []Release
	Handovers []Handover
	Advances  []Advance
	Probes    []hosts.Upstream // to be asked how much memory they have left; see SetFree
}

// worker is a stage upstream.
type worker struct {
	up          hosts.Upstream
	present     bool // listed and ready
	running     *running
	used        int64 // bytes of results held or expected
	speed       float64
	pause       time.Duration
	paused      time.Time // gets no calls until then
	fullTill    time.Time
	retest      time.Time // a slow upstream gets a step then
	held        map[string]held
	foreign     int64 // bytes of results that are not of this board
	suspect     bool  // may hold such results
	foreignTill time.Time
	probeAt     time.Time
}

// held is a result that still occupies its maker.
type held struct {
	bytes   int64
	expires time.Time
}

// part is a step's share of a call.
type part struct {
	step   *step
	pieces []int
}

// running is a call on its way.
type running struct {
	id       int64
	worker   *worker
	parts    []part
	begun    time.Time
	expected time.Duration
	limit    time.Duration
	bytes    int64
	hedged   bool
}

// pool is a stage pool.
type pool struct {
	spec     rule.Batch
	workers  map[string]*worker
	ready    []*step
	wait     time.Duration // usual wait of a step that is in time
	call     time.Duration // usual length of a call
	fill     float64       // usual pieces of a call while others wait
	active   float64       // usual number of upstreams that have a call while pieces wait
	observed time.Time
	expired  time.Time // when results were last looked through
	counted  bool      // the numbers that follow hold
	numbers  numbers
}

// numbers are counts of the upstreams of a pool that are listed and ready.
type numbers struct {
	present int
	busy    int // with a call
	taken   int // with a call, or slow
}

// Scheduler is owned by one goroutine.
type Scheduler struct {
	pools     map[string]*pool
	jobs      map[string]*job
	order     []*job // as they came, those that are gone among them
	calls     map[int64]*running
	nextID    int64
	out       Output
	dropped   map[string][]string // handles to release by maker
	makers    map[string]*worker
	overloads map[string]*overload // by the names of their pools
}

// New returns a board without pools.
func New() *Scheduler {
	return &Scheduler{
		pools: map[string]*pool{}, jobs: map[string]*job{}, calls: map[int64]*running{},
		dropped: map[string][]string{}, makers: map[string]*worker{},
		overloads: map[string]*overload{},
	}
}

// SetPool declares a pool or changes its figures.
func (b *Scheduler) SetPool(name string, spec rule.Batch) {
	p := b.pools[name]
	if p == nil {
		p = &pool{workers: map[string]*worker{}}
		b.pools[name] = p
	}
	p.spec = spec
	if p.fill == 0 {
		p.fill = float64(spec.Size)
	}
}

// SetUpstreams replaces the known upstreams of all pools.
func (b *Scheduler) SetUpstreams(t *hosts.Table) {
	for name, p := range b.pools {
		for _, w := range p.workers {
			w.present = false
		}
		for _, u := range t.Ready(name) {
			w := p.workers[u.ID]
			if w == nil || w.up.StartedMs != u.StartedMs {
				w = &worker{speed: 1, held: map[string]held{}, suspect: p.spec.Headroom >= minProbed}
				p.workers[u.ID] = w
				b.makers[u.ID] = w
			}
			w.up, w.present = u, true
		}
		p.counted = false
		for id, w := range p.workers {
			if !w.present && w.running == nil && len(w.held) == 0 {
				delete(p.workers, id)
				delete(b.makers, id)
			}
		}
	}
}

// Submit adds a job, or refuses it at once.
func (b *Scheduler) Submit(spec Job, now time.Time) {
	if b.jobs[spec.ID] != nil {
		return
	}
	j := newJob(spec, now)
	if refusal, refused := b.admit(j, now); refused {
		b.out.Refusals = append(b.out.Refusals, refusal)
		return
	}
	b.jobs[spec.ID] = j
	b.order = append(b.order, j)
	b.resume(j, now)
	b.enqueue(j.unblock(now))
	b.finish(j)
}

// Cancel drops a job and releases what it holds; unknown jobs are ignored.
func (b *Scheduler) Cancel(id string) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	for _, s := range j.steps {
		b.unqueue(s)
		b.releaseStep(s)
	}
}

// CancelAll drops all jobs.
func (b *Scheduler) CancelAll() {
	for _, id := range sortedKeys(b.jobs) {
		b.Cancel(id)
	}
}

// Jobs is the number of jobs that hold or wait for anything.
func (b *Scheduler) Jobs() int { return len(b.jobs) }

// Queued is the number of pieces that no call holds yet.
func (b *Scheduler) Queued() int {
	n := 0
	for _, p := range b.pools {
		inTime, late := p.queued()
		n += inTime + late
	}
	return n
}

// Release gives up all results of a job whose request has read them.
func (b *Scheduler) Release(id string) { b.Cancel(id) }

// Restart makes the stages run again whose results were lost; it reports whether the job may.
func (b *Scheduler) Restart(id string, now time.Time) bool {
	j := b.jobs[id]
	if j == nil || j.restarts >= maxRestarts {
		return false
	}
	j.restarts++
	j.granted = false
	for _, s := range j.steps {
		b.unqueue(s)
		b.releaseStep(s)
		s.reset()
	}
	b.enqueue(j.unblock(now))
	return true
}

// Finished notes the results of a call, in the order of its items.
func (b *Scheduler) Finished(id int64, results []call.Result, now time.Time) {
	r := b.calls[id]
	if r == nil {
		return
	}
	b.endCall(r)
	w := r.worker
	w.pause = 0
	w.observe(float64(now.Sub(r.begun)) / float64(r.expected))
	at := 0
	for _, p := range r.parts {
		for _, piece := range p.pieces {
			b.settle(r, p.step, piece, results[at], now)
			at++
		}
		b.advance(p.step, now)
		p.step.job.advanced = true
	}
}

// Pause keeps calls from an upstream until a time; unknown upstreams are ignored.
func (b *Scheduler) Pause(id string, until time.Time) {
	if w := b.makers[id]; w != nil && until.After(w.paused) {
		w.paused = until
	}
}

// Failed notes a call without results; busy says that the upstream had no place for it.
func (b *Scheduler) Failed(id int64, busy bool, now time.Time) {
	r := b.calls[id]
	if r == nil {
		return
	}
	b.endCall(r)
	w := r.worker
	w.pause = min(longestPause, max(firstPause, 2*w.pause))
	if busy {
		w.pause = roomPause
	}
	b.Pause(w.up.ID, now.Add(w.pause))
	for _, p := range r.parts {
		if !busy {
			p.step.failures++
		}
		for _, piece := range p.pieces {
			b.again(p.step, piece)
		}
		b.advance(p.step, now)
	}
}

func (b *Scheduler) endCall(r *running) {
	delete(b.calls, r.id)
	if r.worker.running == r {
		r.worker.running = nil
	}
	b.pools[r.worker.up.Pool].counted = false
	r.worker.used -= r.bytes
}

// settle notes the outcome of one piece.
func (b *Scheduler) settle(r *running, s *step, piece int, got call.Result, now time.Time) {
	w := r.worker
	if got.Failure == "" {
		w.hold(got.Handle, s.spec.ResultBytes, now.Add(b.pools[s.spec.Pool].spec.ResultRetention))
		if b.jobs[s.job.ID] != s.job || s.results[piece].handle != "" || s.state == stepBlocked {
			b.drop(w, got.Handle)
			return
		}
		s.results[piece] = result{handle: got.Handle, maker: w.up.ID, zone: w.up.Zone, bytes: s.spec.ResultBytes}
		s.take(piece)
		return
	}
	switch got.Failure {
	case call.FailedNoMemory:
		w.fullTill = now.Add(roomPause)
		w.suspect = b.pools[s.spec.Pool].spec.Headroom >= minProbed
		w.probeAt = now
		w.foreign += s.spec.ResultBytes
		w.foreignTill = now.Add(foreignFor)
	case call.FailedInputGone:
		// A call that was overtaken by another one finds its inputs released.
		if b.waits(s, piece) && !b.Restart(s.job.ID, now) {
			b.refuse(s.job, Failing, now)
		}
		return
	default:
		s.failures++
	}
	b.again(s, piece)
}

// waits says whether a step still needs the result of a piece.
func (b *Scheduler) waits(s *step, piece int) bool {
	return b.jobs[s.job.ID] == s.job && s.results[piece].handle == "" && (s.state == stepRunning || s.state == stepReady)
}

// again makes a piece pending, unless it has a result or is pending already.
func (b *Scheduler) again(s *step, piece int) {
	if !b.waits(s, piece) || slices.Contains(s.pending, piece) {
		return
	}
	s.pending = append(s.pending, piece)
	if s.state == stepRunning {
		s.state = stepReady
		b.enqueue([]*step{s})
	}
}

// advance moves a job on after results of one of its steps came.
func (b *Scheduler) advance(s *step, now time.Time) {
	j := s.job
	if b.jobs[j.ID] != j || (s.state != stepReady && s.state != stepRunning) {
		return
	}
	if s.failures > maxFailures {
		b.refuse(j, Failing, now)
		return
	}
	if s.missing > 0 {
		return
	}
	b.unqueue(s)
	s.state = stepDone
	b.enqueue(j.unblock(now))
	b.releaseRead(j)
	b.finish(j)
}

// finish grants a job whose stages are all done.
func (b *Scheduler) finish(j *job) {
	if j.granted || b.jobs[j.ID] != j || !j.done() {
		return
	}
	j.granted = true
	handles, byZone := j.outputs()
	b.out.Grants = append(b.out.Grants, Grant{Job: j.ID, Inputs: handles, ByZone: byZone, Late: j.late})
}

func (b *Scheduler) refuse(j *job, reason Reason, now time.Time) {
	if b.jobs[j.ID] != j {
		return
	}
	b.Cancel(j.ID)
	b.out.Refusals = append(b.out.Refusals, Refusal{Job: j.ID, Reason: reason, RetryAfter: b.retryAfter(j, now)})
}

func (b *Scheduler) enqueue(steps []*step) {
	for _, s := range steps {
		if p := b.pools[s.spec.Pool]; p != nil && !s.job.recalled && !slices.Contains(p.ready, s) {
			p.ready = append(p.ready, s)
		}
	}
}

func (b *Scheduler) unqueue(s *step) {
	if p := b.pools[s.spec.Pool]; p != nil {
		p.ready = slices.DeleteFunc(p.ready, func(o *step) bool { return o == s })
	}
}

// Step assigns ready pieces to free upstreams and returns what there is to carry out.
func (b *Scheduler) Step(now time.Time) Output {
	for _, p := range b.pools {
		p.expire(now)
	}
	b.hedge(now)
	b.order = slices.DeleteFunc(b.order, func(j *job) bool { return b.jobs[j.ID] != j })
	b.expire(now)
	b.handOver(now)
	b.tellAdvances(now)
	b.outlook(now)
	for _, name := range sortedKeys(b.pools) {
		b.assign(b.pools[name], now)
		b.pools[name].observe(now)
		b.probe(b.pools[name], now)
	}
	out := b.out
	b.out = Output{}
	for _, id := range sortedKeys(b.dropped) {
		if w := b.makers[id]; w != nil {
			out.Releases = append(out.Releases, Release{Upstream: w.up, Handles: b.dropped[id]})
		}
	}
	clear(b.dropped)
	return out
}

// expire refuses jobs that can't be served any more.
func (b *Scheduler) expire(now time.Time) {
	for _, j := range b.order {
		if j.granted {
			continue
		}
		whole, held := float64(j.Deadline.Sub(j.Arrived)), now.Sub(j.submitted)
		switch {
		case held > time.Duration(longestHold*whole):
			b.refuse(j, Expired, now)
		case j.late && !j.started && held > time.Duration(lateHold*whole), j.late && j.waitsSince(now) > longestStepWait:
			b.inVain(j, now)
			b.refuse(j, Expired, now)
		case j.late && !j.started:
			if _, still := b.overloaded(j, now); still {
				b.refuse(j, Overloaded, now)
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
