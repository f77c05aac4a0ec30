package lead

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/repeat"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/fair"
	"github.com/ragworthatch/ragworthatch/internal/limit/kvmem"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	inboxSize    = 1024
	pollInterval = 20 * time.Millisecond // between scheduling steps while orders are open

	// After a scheduling step, the next one waits for stepBackoff times its duration, and for maxStepGap at most, so that
	// a burst of messages costs one step.
	stepBackoff = 2
	maxStepGap  = 10 * time.Millisecond

	limitedRetryAfter    = 1 * time.Second // least Retry-After while upstreams accept no more requests
	unrecordedRetryAfter = 300 * time.Millisecond

	sweepInterval      = 5 * time.Second        // between sweeps, and at most between scheduling steps
	maxAnswerBytes     = 64 << 10               // of an answer of a stage upstream, without the results in it
	maxResultBytes     = 1 << 10                // added to maxAnswerBytes for each result
	releaseTimeout     = 2 * time.Second        // for a release or a report of free memory
	maxReleaseDelay    = 5 * time.Second        // while an upstream asks for a pause; results expire by then
	finishPollInterval = 50 * time.Millisecond  // between checks of Finish for open orders
	finishTimeout      = 200 * time.Millisecond // for Finish to cancel the orders that are left
)

// Codec encodes and decodes the calls to stage upstreams.
type Codec struct {
	RunPath         string // for calls with a batch
	ReleasePath     string // for releases of results
	EncodeBatch     func([]call.Item) ([]byte, error)
	DecodeBatch     func(data []byte, n int) ([]call.Result, error) // n is the number of pieces
	EncodeRelease   func([]string) ([]byte, error)
	ReportPath      string                      // for reports of free memory
	DecodeFreeBytes func([]byte) (int64, error) // memory that an upstream has left for results, in bytes
	// HeaderFor returns the headers of a call with an ID to an upstream; remaining is the longest time to a deadline of its
	// pieces.
	HeaderFor func(upstream, call string, remaining time.Duration) http.Header
}

// Options are the dependencies of a Coordinator.
type Options struct {
	Rules   func() *rule.Rules
	Hosts   func() *hosts.Table
	Client  *uphttp.Client
	Codec   Codec
	Crash   *crash.Tracker
	Notices *notices.Record
	Limits  *pace.Limiter[hosts.Lifetime]
	Origins *origin.Keeper
	// MemoryShare returns the part of the engines' memory that this process may give out; nil for all.
	MemoryShare func() float64
	Stats       *stats.Stats
	Now         func() time.Time
	Log         *zap.Logger
}

// openOrder is an order that is undecided, or that may still need another decision.
type openOrder struct {
	order    Order
	reply    func(Decision) // nil once called
	grant    sched.Grant    // set once its stages are done
	parts    []string       // of its prompt, which other requests may share
	released bool           // the results of its stages are gone, so another engine needs new ones
	waits    bool           // it waits, or has waited, for its turn at an engine with a limit
	trial    bool           // its parts are blocked, and it is let through to see whether it still crashes an engine
	picked   hosts.Upstream // the engine that was last picked for it
}

// Coordinator is the Decider of this process: it schedules the stages of orders and picks their engines.
type Coordinator struct {
	opts        Options
	inbox       chan func(now time.Time)
	scheduler   *sched.Scheduler
	placer      *place.Placer
	memory      *kvmem.Budget
	firstVisits *repeat.Tracker
	orders      map[string]*openOrder
	waiting     []*openOrder    // whose engines all accept no more requests for now
	lookups     map[string]bool // IDs of orders for which the version that began their stream is looked up
	rules       *rule.Rules
	hosts       *hosts.Table
	occupancy   atomic.Pointer[Occupancy]
	openCount   atomic.Int64
	queuedCount atomic.Int64
	policy      *fair.Policy // nil unless requests compete by rank
	tally       *tally

	releases sync.WaitGroup
}

var _ Decider = (*Coordinator)(nil)

// New returns a coordinator, which does nothing until Run is called.
func New(o Options) *Coordinator {
	share := o.MemoryShare
	if share == nil {
		share = func() float64 { return 1 }
	}
	memory := kvmem.New(kvmem.Options{Share: share, Now: o.Now})
	return &Coordinator{
		opts: o, inbox: make(chan func(time.Time), inboxSize), scheduler: sched.New(o.Limits),
		placer: place.New(o.Limits, memory), memory: memory,
		firstVisits: repeat.New(), orders: map[string]*openOrder{}, lookups: map[string]bool{},
		tally: newTally(o.Stats, o.Log),
	}
}

// Load returns the number of requests that are scheduled here, and of their pieces that wait for a call.
func (c *Coordinator) Load() (open, queued int64) { return c.openCount.Load(), c.queuedCount.Load() }

// Finish waits until no order is open or ctx ends, then cancels what is left and releases its results.
func (c *Coordinator) Finish(ctx context.Context) {
	open := 1
	for open > 0 && ctx.Err() == nil {
		if !c.runOnLoop(ctx, func() { open = c.scheduler.Jobs() }) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(finishPollInterval):
		}
	}
	c.opts.Log.Info("leader finished", zap.Int("openOrders", open))
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	c.runOnLoop(last, c.scheduler.CancelAll)
	c.releases.Wait()
}

// runOnLoop runs f and a scheduling step on the goroutine that owns the state. It returns false if ctx ends first.
func (c *Coordinator) runOnLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	c.inbox <- func(now time.Time) {
		f()
		c.execute(c.scheduler.Schedule(now), now)
		close(done)
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run makes decisions until ctx ends. Its goroutine owns all state.
func (c *Coordinator) Run(ctx context.Context) {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	swept, counted, surveyed := c.opts.Now(), c.opts.Now(), c.opts.Now()
	var next time.Time // earliest time of the next scheduling step
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			c.withRecovery(func() {
				f(c.opts.Now())
				c.drainInbox()
			})
		case <-timer.C:
		}
		now := c.opts.Now()
		if gap := next.Sub(now); gap > 0 {
			timer.Reset(gap)
			continue
		}
		c.withRecovery(func() {
			c.refreshConfig()
			c.judge()
			c.pickForWaiting(now)
			c.execute(c.scheduler.Schedule(now), now)
		})
		next = now.Add(stepBackoff * c.opts.Now().Sub(now))
		if latest := c.opts.Now().Add(maxStepGap); next.After(latest) {
			next = latest
		}
		if now.Sub(counted) >= pollInterval {
			c.openCount.Store(int64(c.scheduler.Jobs()))
			c.queuedCount.Store(int64(c.scheduler.Queued()))
			counted = now
		}
		if now.Sub(surveyed) >= surveyInterval {
			c.withRecovery(func() { c.survey(now) })
			surveyed = now
		}
		if now.Sub(swept) > sweepInterval {
			c.placer.Sweep(now)
			c.firstVisits.Sweep(now)
			swept = now
		}
		wait := sweepInterval
		if len(c.orders) > 0 {
			wait = pollInterval
		}
		timer.Reset(wait)
	}
}

// withRecovery keeps a panic in one decision from ending the process: it refuses all open orders and resets the state.
func (c *Coordinator) withRecovery(decide func()) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		c.opts.Log.Error("decisions failed, all orders are refused", zap.Any("panic", panicked), zap.Stack("stack"),
			zap.Int("orders", len(c.orders)))
		waiting := c.orders
		c.scheduler, c.placer, c.orders = sched.New(c.opts.Limits), place.New(c.opts.Limits, c.memory), map[string]*openOrder{}
		c.waiting = nil
		c.rules, c.hosts = nil, nil // reloaded before the next decision
		for _, o := range waiting {
			if o.reply != nil {
				o.reply(Decision{Refused: sched.Failing, RetryAfter: time.Second})
			}
		}
	}()
	decide()
}

// drainInbox handles all messages that wait, so that they cost one scheduling step.
func (c *Coordinator) drainInbox() {
	for {
		select {
		case f := <-c.inbox:
			f(c.opts.Now())
		default:
			return
		}
	}
}

// refreshConfig applies a new configuration or a new list of upstreams.
func (c *Coordinator) refreshConfig() {
	if rules := c.opts.Rules(); rules != c.rules {
		c.rules = rules
		if !rules.Ranked() {
			c.policy = nil
		} else if c.policy == nil {
			c.policy = fair.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		}
		c.scheduler.SetPolicy(c.policy)
		for _, p := range rules.Pools() {
			if p.Batch != nil {
				c.scheduler.SetPool(p.Name, *p.Batch)
			}
		}
		c.hosts = nil
	}
	if table := c.opts.Hosts(); table != c.hosts {
		c.hosts = table
		c.scheduler.SetUpstreams(table)
		c.placer.SetUpstreams(table)
	}
}

// Submit asks for a decision.
func (c *Coordinator) Submit(o Order, reply func(Decision)) {
	c.inbox <- func(now time.Time) {
		c.refreshConfig()
		c.judge()
		c.replace(&o)
		if o.Stream.TakenUp && o.Engine.Version == "" {
			c.findOrigin(o, reply, now)
			return
		}
		c.admit(o, reply, now)
	}
}

// replace drops what is known of an order that is submitted again, as its entry did not get the decision. The results of
// its stages are released, so they are produced again.
func (c *Coordinator) replace(o *Order) {
	id := o.Job.ID
	c.placer.Ended(id)
	if c.orders[id] != nil {
		c.scheduler.Cancel(id)
		delete(c.orders, id)
		o.Job.Progress = nil
	}
}

// findOrigin finds the version at which the stream of an order began, and then admits the order. The entries tell the
// leader which streams they have passed on; else what the order's entry has found holds, or this one looks it up.
func (c *Coordinator) findOrigin(o Order, reply func(Decision), now time.Time) {
	id := o.Job.ID
	c.lookups[id] = true
	if began, known := c.opts.Origins.Remembered(o.Stream.Key); known {
		c.admitTakenUp(o, origin.Found{Origin: began, Source: origin.SourceMemory}, reply, now)
		return
	}
	if o.Stream.Found.IsKnown() {
		c.admitTakenUp(o, o.Stream.Found, reply, now)
		return
	}
	found, atOnce := c.opts.Origins.Find(o.Stream.Key, o.Engine.Pool, o.Job.Arrived, func(f origin.Found) {
		c.inbox <- func(now time.Time) { c.admitTakenUp(o, f, reply, now) }
	})
	if atOnce {
		c.admitTakenUp(o, found, reply, now)
	}
}

// admitTakenUp admits an order whose stream goes on at the version that began it, or refuses it if there is no engine of
// that version. The order may have ended meanwhile.
func (c *Coordinator) admitTakenUp(o Order, f origin.Found, reply func(Decision), now time.Time) {
	if !c.lookups[o.Job.ID] {
		return
	}
	delete(c.lookups, o.Job.ID)
	c.refreshConfig()
	o.Engine.Version = f.Version
	refused := sched.Reason("")
	switch {
	case !f.IsKnown():
		refused = sched.NoOrigin
	case f.Pool != o.Engine.Pool || len(o.Engine.Ready(c.hosts)) == 0:
		refused = sched.NoVersion
	}
	c.opts.Log.Info("stream taken up", zap.String("request", o.Job.RequestID), zap.String("software", f.Version),
		zap.String("source", string(f.Source)), zap.String("refused", string(refused)))
	if refused != "" {
		reply(Decision{Refused: refused, RetryAfter: time.Second})
		return
	}
	c.admit(o, reply, now)
}

// admit schedules an order, or refuses it.
func (c *Coordinator) admit(o Order, reply func(Decision), now time.Time) {
	parts := crash.PartsOf(o.Engine.Model, o.Engine.Prefix)
	wait, trial := c.opts.Crash.Admit(o.Fingerprint, parts)
	if wait > 0 {
		reply(Decision{Refused: sched.Quarantined, RetryAfter: wait})
		return
	}
	if trial {
		c.opts.Log.Info("trial of blocked prompt parts", zap.String("request", o.Job.RequestID), zap.Strings("parts", parts))
	}
	waited := c.firstVisits.Record(o.Fingerprint, o.Job.Arrived, o.Job.Deadline)
	if waited > 0 && !o.Stream.TakenUp { // the first event of a stream that is taken up came long before
		o.Job.Target = o.Job.Target.Add(-waited)
		o.Job.Retried = !c.firstVisits.IsEarly(o.Fingerprint, o.Job.Arrived)
		c.opts.Log.Info("caller comes back", zap.String("request", o.Job.RequestID), zap.Duration("waited", waited))
	}
	if _, paused := c.placer.PauseLeft(o.Engine, c.hosts, now); paused {
		reply(c.refuseNoEngine(o.Engine, now))
		return
	}
	if c.hosts.IsWithheld(o.Engine.Pool) {
		reply(Decision{Refused: sched.NoUpstreams, RetryAfter: zones.RetryAfter(rand.Float64())})
		return
	}
	if wait, exceeds := c.exceedsLimits(o, now); exceeds {
		reply(Decision{Refused: sched.Limited, RetryAfter: max(wait, limitedRetryAfter)})
		return
	}
	// Work that another leader had done for it is lost if it is refused.
	o.Engine.Staged = o.Engine.Staged || slices.ContainsFunc(o.Job.Progress, func(p sched.Progress) bool { return p.Done })
	if wait, crowded := c.crowded(o, now); crowded {
		reply(Decision{Refused: Crowded, RetryAfter: wait})
		return
	}
	o.Job.TimeToFirstToken = c.placer.TimeToFirstToken(o.Engine, c.hosts, now)
	if o.Job.ReadsLargeResults() {
		o.Job.Zone = c.placer.PreferredZone(o.Engine, c.hosts, c.engineSpec(o.Engine.Pool), now)
	}
	if len(o.Job.Progress) > 0 {
		c.opts.Log.Info("order resumes", append(progressFields(o.Job.Progress), zap.String("request", o.Job.RequestID))...)
	}
	c.orders[o.Job.ID] = &openOrder{order: o, reply: reply, parts: parts, trial: trial}
	c.scheduler.Submit(o.Job, now)
}

// Retry asks for another decision after a problem with an engine.
func (c *Coordinator) Retry(id, engine string, why Problem, begunAt string, reply func(Decision)) {
	c.inbox <- func(now time.Time) {
		c.refreshConfig()
		o := c.orders[id]
		if o == nil {
			reply(Decision{Refused: sched.Failing, RetryAfter: time.Second})
			return
		}
		o.reply = reply
		o.order.Engine.Exclude = append(o.order.Engine.Exclude, engine)
		o.order.Engine.Staged = true // what was done for it is lost if it is refused
		if begunAt != "" {
			o.order.Engine.Version = begunAt
		}
		switch why {
		case ProblemFailed:
			c.recordFailure(engine, id, now)
		case ProblemInputLost:
			o.released = true
		}
		if len(o.order.Engine.Ready(c.hosts)) == 0 && o.order.Engine.Version != "" {
			c.sendDecision(id, o, Decision{Refused: sched.NoVersion, RetryAfter: time.Second})
			return
		}
		if o.released {
			o.released = false
			c.restartStages(o, now)
			return
		}
		c.pickEngine(o, now)
	}
}

// restartStages runs the stages of an order again, whose results are lost, or refuses it after too many restarts.
func (c *Coordinator) restartStages(o *openOrder, now time.Time) {
	id := o.order.Job.ID
	c.placer.Ended(id)
	if !c.scheduler.Restart(id, now) {
		c.sendDecision(id, o, Decision{Refused: sched.Failing, RetryAfter: time.Second})
	}
}

// Recall gives an undecided order back as soon as none of its pieces is in a call.
func (c *Coordinator) Recall(id string) {
	c.inbox <- func(time.Time) {
		if o := c.orders[id]; o != nil && o.reply != nil {
			if i := slices.Index(c.waiting, o); i >= 0 {
				c.waiting = slices.Delete(c.waiting, i, i+1)
				c.scheduler.Ungrant(id)
			}
			c.scheduler.Recall(id)
		}
	}
}

// FirstByte releases the results that the request has read. Its order is kept if it may resume at another engine, which
// runs its stages again.
func (c *Coordinator) FirstByte(id string, keep bool) {
	c.inbox <- func(now time.Time) {
		c.placer.FirstByte(id, now)
		if o := c.orders[id]; o != nil {
			for _, b := range c.opts.Crash.ObserveBegun(o.parts) {
				c.opts.Log.Info("prompt parts unblocked", zap.Strings("parts", b.Parts))
			}
			if o.order.Stream.Key != 0 {
				c.opts.Origins.Learn(map[uint64]origin.Origin{o.order.Stream.Key: {Pool: o.picked.Pool, Version: o.picked.Version}})
			}
		}
		if keep {
			if o := c.orders[id]; o != nil {
				o.released = len(o.grant.Inputs) > 0
				c.scheduler.ReleaseResults(id)
			}
			return
		}
		c.scheduler.Release(id)
		delete(c.orders, id)
	}
}

// Ended removes a request.
func (c *Coordinator) Ended(id, engine string, failed bool) {
	c.inbox <- func(now time.Time) {
		if failed {
			c.recordFailure(engine, id, now)
		}
		c.placer.Ended(id)
		c.scheduler.Cancel(id)
		delete(c.orders, id)
		delete(c.lookups, id)
	}
}

// Adopt counts requests of an entry that run on engines by the decision of another process.
func (c *Coordinator) Adopt(entry string, runs []place.Run, whole bool) {
	c.inbox <- func(now time.Time) {
		c.refreshConfig()
		c.placer.Adopt(entry, runs, whole, c.hosts, now)
		if len(runs) > 1 {
			c.opts.Log.Info("running requests adopted", zap.String("member", entry), zap.Int("requests", len(runs)))
		}
	}
}

// Abandon keeps the memory of requests whose entry is out of touch, until their deadline.
func (c *Coordinator) Abandon(ids []string) {
	c.inbox <- func(time.Time) {
		for _, id := range ids {
			c.placer.Abandon(id)
		}
	}
}

// Crashed counts a crash of an upstream under a request.
func (c *Coordinator) Crashed(r crash.Report) {
	blocked := c.opts.Crash.ObserveCrash(r)
	result := "counted"
	if blocked {
		result = "blocked"
	}
	c.opts.Stats.CrashReport(result)
	c.opts.Log.Info("crash reported", zap.Uint64("fingerprint", r.Fingerprint), zap.String("lifetime", r.Lifetime),
		zap.Strings("parts", r.Parts), zap.Bool("begun", r.Begun), zap.String("result", result))
	if blocked {
		c.opts.Log.Warn("requests with this fingerprint break down upstreams, they are refused for a while",
			zap.Uint64("fingerprint", r.Fingerprint))
	}
}

// judge blocks prompt parts that are to blame for crashes, and refuses the orders with them that are undecided.
func (c *Coordinator) judge() {
	for _, b := range c.opts.Crash.Judge() {
		c.opts.Stats.CrashReport("partBlocked")
		c.opts.Log.Warn("prompt parts blocked", zap.Strings("parts", b.Parts),
			zap.Time("until", b.Until))
		for id, o := range c.orders {
			if wait := c.blockedFor(o); wait > 0 && o.reply != nil {
				c.sendDecision(id, o, Decision{Refused: sched.Quarantined, RetryAfter: wait})
			}
		}
	}
}

// blockedFor returns how long requests like this one are refused; 0 if they are not, or if this one is a trial.
func (c *Coordinator) blockedFor(o *openOrder) time.Duration {
	if o.trial {
		return 0
	}
	return c.opts.Crash.BlockedFor(o.order.Fingerprint, o.parts)
}

// UpstreamNotice applies what an upstream told an entry.
func (c *Coordinator) UpstreamNotice(entry string, n notices.Notice) {
	c.opts.Notices.AddRemote(n)
	if n.Pause <= 0 {
		return
	}
	c.inbox <- func(now time.Time) {
		c.refreshConfig()
		until := now.Add(n.Pause)
		if u, known := c.hosts.Get(n.Lifetime.ID); known && u.StartedMs == n.Lifetime.StartedMs {
			if p, ok := c.rules.Pool(u.Pool); ok && p.Engine != nil {
				c.placer.Pause(u, entry, until)
			}
			c.scheduler.Pause(u.Lifetime(), until)
		}
	}
}

// Served clears the crashes that were counted under a request, as it was answered.
func (c *Coordinator) Served(fingerprint uint64) { c.opts.Crash.ObserveAnswer(fingerprint) }

// recordFailure counts a failure of an engine under an order, and logs its ejection if that is the consequence.
func (c *Coordinator) recordFailure(engine, order string, now time.Time) {
	c.refreshConfig()
	u, listed := c.hosts.Get(engine)
	if !listed {
		return
	}
	if ejection := c.placer.EngineFailed(u, order, now); ejection > 0 {
		c.opts.Stats.Ejected(u.Pool)
		c.opts.Log.Info("engine ejected", zap.String("upstream", engine), zap.Duration("for", ejection))
	}
}

// pickEngine picks the engine of a request whose stages are done.
func (c *Coordinator) pickEngine(o *openOrder, now time.Time) {
	id := o.order.Job.ID
	if wait := c.blockedFor(o); wait > 0 {
		c.sendDecision(id, o, Decision{Refused: sched.Quarantined, RetryAfter: wait})
		return
	}
	if !c.scheduler.HoldsOutputs(id) {
		c.opts.Log.Info("results lost before they were read", zap.String("request", o.order.Job.RequestID))
		c.restartStages(o, now)
		return
	}
	o.order.Engine.Within, o.order.Engine.Left = timeLeft(o.order, now), o.order.Job.Target.Sub(now)
	o.order.Engine.Staged = o.order.Engine.Staged || len(o.grant.Inputs) > 0
	order := o.order.Engine
	if o.begins() {
		placement := c.opts.Origins.Placement(o.order.Stream.Key, order.Pool)
		order.Version, order.InTime = placement.Version, placement.Version != ""
		order.Base, order.RecordTime = placement.Base, placement.RecordTime
		if len(order.Ready(c.hosts)) == 0 {
			order.Version, order.InTime = "", false // Begin decides whether it may begin elsewhere
		}
	}
	up, ok := c.placer.Pick(order, c.hosts, c.engineSpec(order.Pool), now)
	if !ok {
		if wait, crowded := c.crowded(o.order, now); crowded {
			c.sendDecision(id, o, Decision{Refused: Crowded, RetryAfter: wait})
			return
		}
		if c.awaitEngine(o, now) {
			return
		}
		c.sendDecision(id, o, c.refuseNoEngine(order, now))
		return
	}
	o.picked = up
	if !o.begins() || c.opts.Origins.Begin(o.order.Stream.Key, origin.Origin{Pool: up.Pool, Version: up.Version},
		o.order.Stream.Repeats, func(recorded bool) {
			c.inbox <- func(now time.Time) { c.originRecorded(o, up, recorded, now) }
		}) {
		c.sendEngine(o)
	}
}

// begins reports whether the order's stream may be taken up later and has no event yet, so that it may begin at any
// version.
func (o *openOrder) begins() bool { return o.order.Stream.Key != 0 && o.order.Engine.Version == "" }

// sendEngine replies with the engine that was picked.
func (c *Coordinator) sendEngine(o *openOrder) {
	c.sendDecision(o.order.Job.ID, o, Decision{Upstream: o.picked.ID, Version: o.picked.Version, Inputs: o.grant.Inputs,
		Late: o.grant.Late})
}

// originRecorded sends the order to the engine that was picked, once the store has the record of its stream.
func (c *Coordinator) originRecorded(o *openOrder, up hosts.Upstream, recorded bool, now time.Time) {
	id := o.order.Job.ID
	if c.orders[id] != o || o.reply == nil || o.picked != up {
		return
	}
	c.refreshConfig()
	if !recorded {
		c.sendDecision(id, o, Decision{Refused: sched.Unrecorded, RetryAfter: unrecordedRetryAfter})
		return
	}
	if u, listed := c.hosts.Get(up.ID); !listed || u.Lifetime() != up.Lifetime() || !c.hosts.TakesWork(up.ID) {
		c.pickEngine(o, now)
		return
	}
	c.sendEngine(o)
}

// awaitEngine keeps an order until an engine accepts it, if some engines have named limits and one is expected to accept
// it in time.
func (c *Coordinator) awaitEngine(o *openOrder, now time.Time) bool {
	left := timeLeft(o.order, now)
	if o.waits {
		left = o.order.Job.Deadline.Sub(now) // its turn was expected in time, and may come a little later
	}
	capacity, wait, known := c.placer.Capacity(o.order.Engine, c.hosts, left, now)
	if !known || wait >= left {
		return false
	}
	ahead := 0
	for _, other := range c.waiting {
		if competes(other.order, o.order) && compareOrders(other, o) < 0 {
			ahead++
		}
	}
	if !o.waits && float64(ahead+1) > capacity {
		return false
	}
	o.waits = true
	c.waiting = append(c.waiting, o)
	return true
}

// pickForWaiting picks engines for the orders that wait for one, the most urgent first.
func (c *Coordinator) pickForWaiting(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	slices.SortStableFunc(waiting, compareOrders)
	for _, o := range waiting {
		if c.orders[o.order.Job.ID] == o && o.reply != nil {
			c.pickEngine(o, now)
		}
	}
}

// competes reports whether an order takes engines from another one. If that one needs a version, only orders that need it
// too do, as all others may use other engines.
func competes(a, with Order) bool {
	return a.Engine.Pool == with.Engine.Pool && (with.Engine.Version == "" || a.Engine.Version == with.Engine.Version)
}

// compareOrders sorts orders by rank, those that need a version first, then by target.
func compareOrders(a, b *openOrder) int {
	anyVersion := func(o *openOrder) int {
		if o.order.Engine.Version == "" {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.order.Job.Rank, b.order.Job.Rank), cmp.Compare(anyVersion(a), anyVersion(b)),
		a.order.Job.Target.Compare(b.order.Job.Target))
}

// timeLeft returns the time until the target of an order, or until its deadline if it is late.
func timeLeft(o Order, now time.Time) time.Duration {
	if left := o.Job.Target.Sub(now); left > 0 {
		return left
	}
	return o.Job.Deadline.Sub(now)
}

// exceedsLimits reports whether some engines that an order may use have named limits, and orders that are no less urgent
// need all that the engines accept in time. wait is the time until one of them accepts a request.
func (c *Coordinator) exceedsLimits(o Order, now time.Time) (wait time.Duration, exceeds bool) {
	capacity, wait, known := c.placer.Capacity(o.Engine, c.hosts, timeLeft(o, now), now)
	if !known {
		return 0, false
	}
	ahead := 0
	for _, other := range c.orders {
		if other.reply != nil && competes(other.order, o) && other.order.Job.Rank <= o.Job.Rank {
			ahead++
		}
	}
	return wait, float64(ahead+1) > capacity
}

// crowded reports whether the engines that an order may use have too many prompts to read for it, and when its caller
// may come back.
func (c *Coordinator) crowded(o Order, now time.Time) (retryAfter time.Duration, crowded bool) {
	o.Engine.Within, o.Engine.Left = timeLeft(o, now), o.Job.Target.Sub(now)
	retryAfter, crowded = c.placer.Crowded(o.Engine, c.hosts, c.engineSpec(o.Engine.Pool), now)
	if crowded {
		c.opts.Stats.EngineRefusal(o.Engine.Pool, o.Job.Rank)
		c.opts.Log.Info("engines crowded", zap.String("request", o.Job.RequestID), zap.String("pool", o.Engine.Pool),
			zap.String("route", o.Engine.Route), zap.Int("rank", o.Job.Rank), zap.Int("promptTokens", o.Engine.PromptTokens),
			zap.Bool("staged", o.Engine.Staged), zap.Duration("left", o.Engine.Left), zap.Duration("retryAfter", retryAfter))
	}
	return retryAfter, crowded
}

// refuseNoEngine returns the refusal of an order that no engine can take now. If all engines have paused its entry, the
// caller may retry when the first pause ends.
func (c *Coordinator) refuseNoEngine(o place.Order, now time.Time) Decision {
	if opens, paused := c.placer.PauseLeft(o, c.hosts, now); paused {
		return Decision{Refused: sched.Paused, RetryAfter: opens}
	}
	if _, wait, known := c.placer.Capacity(o, c.hosts, limitedRetryAfter, now); known {
		return Decision{Refused: sched.Limited, RetryAfter: max(wait, limitedRetryAfter)}
	}
	if c.hosts.IsWithheld(o.Pool) {
		return Decision{Refused: sched.NoUpstreams, RetryAfter: zones.RetryAfter(rand.Float64())}
	}
	return Decision{Refused: sched.NoUpstreams, RetryAfter: time.Second}
}

// engineSpec returns the configuration of the engines of a pool.
func (c *Coordinator) engineSpec(pool string) rule.Engine {
	if p, ok := c.rules.Pool(pool); ok && p.Engine != nil {
		return *p.Engine
	}
	return rule.Engine{}
}

// sendDecision replies to an order, unless it already had a reply, and drops it if it is refused.
func (c *Coordinator) sendDecision(id string, o *openOrder, d Decision) {
	if d.Refused != "" {
		c.scheduler.Cancel(id)
		delete(c.orders, id)
	}
	if o.reply != nil {
		reply := o.reply
		o.reply = nil
		reply(d)
	}
}

// execute carries out the output of a scheduling step: it replies to orders and starts calls, releases and reports.
func (c *Coordinator) execute(out sched.Output, now time.Time) {
	for _, granted := range out.Grants {
		o := c.orders[granted.Job]
		if o == nil {
			c.scheduler.Cancel(granted.Job)
			continue
		}
		o.grant = granted
		if c.policy != nil && o.order.Job.NeedsStages() {
			c.tally.granted(o.order.Job, granted.Late)
		}
		o.order.Engine.ByZone = granted.ByZone
		c.pickEngine(o, now)
	}
	demands := sync.OnceValue(func() []sched.Demand { return c.scheduler.Demands(now) }) // once for all refusals of a step
	for _, r := range out.Refusals {
		if o := c.orders[r.Job]; o != nil {
			if slices.ContainsFunc(o.order.Job.Stages, func(s sched.Stage) bool { return c.hosts.IsWithheld(s.Pool) }) {
				r.RetryAfter = zones.RetryAfter(rand.Float64())
			}
			if r.Pool != "" {
				c.tally.refused(o.order.Job, r)
				c.firstVisits.Refused(o.order.Fingerprint, now.Add(r.RetryAfter))
			}
			c.logRefusal(o, r, demands(), now)
			c.sendDecision(r.Job, o, Decision{Refused: r.Reason, RetryAfter: r.RetryAfter})
		}
	}
	for _, h := range out.Handovers {
		if o := c.orders[h.Job]; o != nil {
			delete(c.orders, h.Job)
			c.opts.Log.Info("order handed over", append(progressFields(h.Stages), zap.String("request", o.order.Job.RequestID))...)
			c.sendDecision(h.Job, o, Decision{Moved: true, Progress: h.Stages})
		}
	}
	for _, a := range out.Checkpoints {
		if o := c.orders[a.Job]; o != nil && o.reply != nil {
			o.reply(Decision{Pending: true, Progress: a.Stages})
		}
	}
	for _, b := range out.Batches {
		c.opts.Log.Info("stage call", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID),
			zap.String("pool", b.Upstream.Pool), zap.Int("pieces", len(b.Items)), zap.Duration("expected", b.Expected),
			zap.Int("waitInTime", b.QueuedInTime), zap.Int("waitLate", b.QueuedLate), zap.Int64("room", b.FreeBytes),
			zap.Int("emptyInputs", emptyInputs(b.Items)), zap.Duration("listAge", now.Sub(c.hosts.Read())),
			zap.Strings("requests", requestsOf(b.Items)), zap.Inline(speedFields{b, now}))
		go c.runBatch(b)
	}
	c.tally.flush(now)
	for _, r := range out.Releases {
		if c.hosts.IsEvacuated(r.Upstream.Zone) {
			continue // the results expire
		}
		if wait := c.opts.Notices.PauseRemaining(r.Upstream.Lifetime()); wait > 0 {
			c.releaseLater(r, wait, now.Add(maxReleaseDelay))
			continue
		}
		c.releases.Go(func() { c.release(r, now.Add(maxReleaseDelay)) })
	}
	for _, u := range out.Probes {
		go c.updateFreeBytes(u)
	}
}

// updateFreeBytes asks an upstream how much memory it has free for results; the answer is logged as "report".
func (c *Coordinator) updateFreeBytes(u hosts.Upstream) {
	free, err := c.fetchFreeBytes(u)
	if err != nil {
		c.opts.Log.Info("report failed", zap.String("upstream", u.ID), zap.Error(err))
		return
	}
	c.opts.Log.Info("report", zap.String("upstream", u.ID), zap.Int64("freeBytes", free))
	c.inbox <- func(now time.Time) { c.scheduler.SetFreeMemory(u.Lifetime(), free, now) }
}

func (c *Coordinator) fetchFreeBytes(u hosts.Upstream) (int64, error) {
	var free int64
	failure := c.roundTrip(u, releaseTimeout, 0, uphttp.Request{
		Method: http.MethodGet, URI: c.opts.Codec.ReportPath, Header: http.Header{},
	}, func(got stageAnswer) (err error) {
		free, err = c.opts.Codec.DecodeFreeBytes(got.body)
		return err
	})
	if failure != nil {
		return 0, failure
	}
	return free, nil
}

// stageAnswer is an answer of a stage upstream.
type stageAnswer struct {
	status    int
	body      []byte
	duplicate bool // same body as an earlier answer on its connection
}

// request returns a request to a stage upstream, which may ignore its ID.
func (c *Coordinator) request(u hosts.Upstream, path string, body []byte, remaining time.Duration) uphttp.Request {
	id := fmt.Sprintf("%016x", rand.Uint64())
	return uphttp.Request{Method: http.MethodPost, URI: path, Body: body, ID: id, MayOmitID: true,
		Header: c.opts.Codec.HeaderFor(u.ID, id, remaining)}
}

// roundTrip sends a request to a stage upstream and passes the whole answer to decode, which fails if it can't be used.
// The number of results in it determines its maximum size.
func (c *Coordinator) roundTrip(u hosts.Upstream, timeout time.Duration, results int, r uphttp.Request,
	decode func(stageAnswer) error) *fault.Error {
	if c.opts.Hosts().IsEvacuated(u.Zone) {
		return fault.New(fault.NotRun, fault.Draining, "the zone of %s is evacuated", u.ID)
	}
	if wait := c.opts.Notices.PauseRemaining(u.Lifetime()); wait > 0 {
		return fault.New(fault.NotRun, fault.Overloaded, "%s wants nothing for now", u.ID).WithRetryAfter(wait)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r.Host = u.Address
	if r.URI != c.opts.Codec.RunPath { // calls were counted when they were scheduled
		if c.opts.Limits.ColdRate(u.Lifetime()) == 0 {
			c.opts.Limits.Spend(u.Lifetime())
		} else if wait := c.opts.Limits.Take(u.Lifetime()); wait > 0 {
			return fault.New(fault.NotRun, fault.Overloaded, "%s is cold", u.ID).WithRetryAfter(wait)
		}
	}
	sent := c.opts.Now()
	answer, failure := c.opts.Client.Do(ctx, u.Address, r)
	if failure != nil {
		return failure
	}
	defer answer.Close()
	c.opts.Notices.AddAnswer(u, sent, answer.Status, answer.Head)
	if answer.Head.HasLoad {
		load, at := answer.Head.Load, c.opts.Now()
		c.inbox <- func(time.Time) { c.scheduler.ObserveLoad(u.Lifetime(), load, at) }
	}
	if answer.Head.HasLimit {
		c.opts.Stats.LimitNamed(u.Pool)
		c.opts.Log.Info("stage upstream named a limit", zap.String("upstream", u.ID), zap.String("path", r.URI),
			zap.Float64("limit", answer.Head.Limit))
	}
	maxBytes := int64(maxAnswerBytes + results*maxResultBytes)
	data, err := io.ReadAll(io.LimitReader(answer, maxBytes+1))
	switch {
	case err != nil:
		return fault.New(fault.MayHaveRun, fault.Incomplete,
			"the answer of %s is cut off", u.ID).WithCause(err)
	case int64(len(data)) > maxBytes:
		return fault.New(fault.MayHaveRun, fault.Malformed,
			"the answer of %s is longer than %d bytes", u.ID, maxBytes)
	}
	err = decode(stageAnswer{
		status: answer.Status, body: data, duplicate: results > 0 && answer.CheckDuplicate(xxhash.Sum64(data))})
	if err == nil {
		return nil
	}
	answer.Discard()
	if errors.As(err, &failure) {
		return failure
	}
	return fault.New(fault.MayHaveRun, fault.Malformed, "the answer of %s can't be decoded", u.ID).WithCause(err)
}

// runBatch calls a stage upstream with a batch and passes the outcome to the scheduler.
func (c *Coordinator) runBatch(b sched.Batch) {
	results, failure := c.callBatch(b)
	// A call that was not sent as its zone is evacuated is no failure of its pieces either.
	busy := failure != nil && (failure.Code == fault.Overloaded || failure.Code == fault.Draining)
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	c.opts.Stats.StageCall(b.Upstream.Pool, outcome, len(b.Items))
	if failure != nil {
		c.opts.Log.Info("stage call failed", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID),
			zap.Error(failure))
	}
	c.inbox <- func(now time.Time) {
		if failure != nil {
			c.scheduler.CallFailed(b.ID, busy, now)
			return
		}
		c.recordFailedPieces(b, results)
		c.scheduler.CallFinished(b.ID, results, now)
	}
}

// recordFailedPieces counts and logs the pieces of a batch that have no result, by reason.
func (c *Coordinator) recordFailedPieces(b sched.Batch, results []call.Result) {
	failed := map[call.Failure]int{}
	for _, r := range results {
		if r.Failure != "" {
			failed[r.Failure]++
		}
	}
	for reason, n := range failed {
		c.opts.Stats.FailedPieces(b.Upstream.Pool, string(reason), n)
		c.opts.Log.Info("pieces failed", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID),
			zap.String("pool", b.Upstream.Pool), zap.String("reason", string(reason)),
			zap.Int("pieces", n), zap.Int("of", len(results)))
	}
}

// callBatch calls a stage upstream with a batch and returns a result for each of its pieces.
func (c *Coordinator) callBatch(b sched.Batch) ([]call.Result, *fault.Error) {
	if n := emptyInputs(b.Items); n > 0 {
		return nil, fault.New(fault.NotRun, fault.Internal, "%d pieces name an input without a handle", n)
	}
	body, err := c.opts.Codec.EncodeBatch(b.Items)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Internal, "a batch can't be encoded").WithCause(err)
	}
	var results []call.Result
	failure := c.roundTrip(b.Upstream, b.Timeout, len(b.Items),
		c.request(b.Upstream, c.opts.Codec.RunPath, body, maxRemaining(b.Items)),
		func(got stageAnswer) (err error) {
			results, err = c.decodeBatch(b, got)
			return err
		})
	return results, failure
}

// decodeBatch returns the results that an answer to a batch names. It fails with a fault.Error if the upstream refused the
// batch, or if the answer belongs to another call, and on malformed answers.
func (c *Coordinator) decodeBatch(b sched.Batch, got stageAnswer) ([]call.Result, error) {
	switch {
	case got.status == http.StatusServiceUnavailable:
		return nil, fault.New(fault.NotRun, fault.Overloaded, "%s takes no call", b.Upstream.ID)
	case got.status != http.StatusOK:
		return nil, fault.New(fault.MayHaveRun, fault.Upstream, "%s answered with status %d", b.Upstream.ID, got.status)
	}
	results, err := c.opts.Codec.DecodeBatch(got.body, len(b.Items))
	if err != nil {
		return nil, err
	}
	// Upstreams never use a handle twice, so this is the answer to another call.
	if got.duplicate && slices.ContainsFunc(results, func(r call.Result) bool { return r.Handle != "" }) {
		return nil, fault.New(fault.MayHaveRun, fault.Malformed, "a second copy of an answer of %s", b.Upstream.ID)
	}
	return results, nil
}

// progressFields describes the progress of an order: which stages are done, which of them name no results, and which
// upstreams hold those that are named.
func progressFields(stages []sched.Progress) []zap.Field {
	var done, bare []int
	var producers []string
	results := 0
	for i, s := range stages {
		named := 0
		for _, r := range s.Results {
			if r.Handle == "" {
				continue
			}
			named++
			if !slices.Contains(producers, r.Producer.ID) {
				producers = append(producers, r.Producer.ID)
			}
		}
		results += named
		if s.Done {
			done = append(done, i)
			if named == 0 {
				bare = append(bare, i)
			}
		}
	}
	return []zap.Field{zap.Ints("stagesDone", done), zap.Ints("doneWithoutResults", bare), zap.Int("results", results),
		zap.Strings("producers", producers)}
}

// speedFields describes how the expected duration of a call follows from the usual one, for upstreams that state their load.
type speedFields struct {
	sched.Batch
	now time.Time
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f speedFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	age, known := f.Speed.Age(f.now)
	if !known {
		return nil
	}
	load := f.Speed.Load()
	e.AddDuration("usual", f.Usual)
	e.AddFloat64("slowness", f.Speed.Slowness())
	e.AddDuration("loadAge", age)
	e.AddInt("upstreamRunning", load.Running)
	e.AddInt("upstreamWaiting", load.Waiting)
	e.AddInt("timePercent", load.TimePercent)
	return nil
}

// emptyInputs counts the pieces of a call that name an input without a handle.
func emptyInputs(items []call.Item) int {
	n := 0
	for _, it := range items {
		if slices.Contains(it.Inputs, "") {
			n++
		}
	}
	return n
}

// requestsOf lists the requests that the pieces of a call belong to.
func requestsOf(items []call.Item) []string {
	var out []string
	for _, it := range items {
		if !slices.Contains(out, it.RequestID) {
			out = append(out, it.RequestID)
		}
	}
	return out
}

// maxRemaining returns the longest time that one of the pieces has until its deadline.
func maxRemaining(items []call.Item) time.Duration {
	var d time.Duration
	for _, it := range items {
		d = max(d, it.Remaining)
	}
	return d
}

// releaseLater releases results once the pause of their upstream ends, unless that is after last, when they have expired.
func (c *Coordinator) releaseLater(r sched.Release, wait time.Duration, last time.Time) {
	if c.opts.Now().Add(wait).After(last) {
		c.opts.Log.Info("results are left to expire", zap.String("upstream", r.Upstream.ID),
			zap.Int("results", len(r.Handles)))
		return
	}
	time.AfterFunc(wait, func() { c.release(r, last) })
}

// release tells an upstream to drop results, later if it is cold and accepts no request now. If that fails, they take up
// memory until they expire.
func (c *Coordinator) release(r sched.Release, last time.Time) {
	body, err := c.opts.Codec.EncodeRelease(r.Handles)
	if err != nil {
		c.opts.Log.Warn("can't encode a release", zap.Error(err))
		return
	}
	request := c.request(r.Upstream, c.opts.Codec.ReleasePath, body, 0)
	request.Uniform = true
	failure := c.roundTrip(r.Upstream, releaseTimeout, 0, request,
		func(got stageAnswer) error {
			if got.status != http.StatusOK {
				return fault.New(fault.MayHaveRun, fault.Upstream, "%s answered with status %d", r.Upstream.ID, got.status)
			}
			return nil
		})
	if failure != nil && failure.Verdict == fault.NotRun && failure.RetryAfter > 0 {
		c.releaseLater(r, failure.RetryAfter, last)
		return
	}
	if failure != nil {
		c.opts.Log.Info("release failed", zap.String("upstream", r.Upstream.ID), zap.Error(failure))
	}
}
