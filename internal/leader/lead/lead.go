package lead

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/repeat"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	inboxSize      = 1024
	tick           = 20 * time.Millisecond // between looks at the queues while there is work
	stepShare      = 2                     // the board is looked at again after this multiple of the time that takes,
	longestGap     = 10 * time.Millisecond // but no later, so that a burst of messages costs one look
	sweepEvery     = 5 * time.Second
	maxAnswer      = 64 << 10 // bytes of an answer of a stage upstream,
	maxResult      = 1 << 10  // and further ones for each result in it
	releaseLimit   = 2 * time.Second
	longestRelease = 5 * time.Second // that a release waits for an upstream that wants nothing; results expire by then
	finishPoll     = 50 * time.Millisecond
	finishRelease  = 200 * time.Millisecond
)

// Codec writes and reads the calls to stage upstreams.
type Codec struct {
	RunPath         string
	ReleasePath     string
	EncodeBatch     func([]call.Item) ([]byte, error)
	DecodeBatch     func(data []byte, n int) ([]call.Result, error)
	EncodeRelease   func([]string) ([]byte, error)
	ReportPath      string
	DecodeFreeBytes func([]byte) (int64, error) // memory that an upstream has left for results, in bytes
	HeaderFor       func(upstream string, remaining time.Duration) http.Header
}

// Options are the dependencies of a Coordinator.
type Options struct {
	Rules   func() *rule.Rules
	Hosts   func() *hosts.Table
	Client  *uphttp.Client
	Codec   Codec
	Crash   *crash.Record
	Notices *notices.Record
	Stats   *stats.Stats
	Now     func() time.Time
	Log     *zap.Logger
}

// waiter is an order without its decision.
type waiter struct {
	order Order
	reply func(Decision)
	grant sched.Grant
}

// Coordinator is the Decider of this process: it schedules the stages of orders and picks their engines.
type Coordinator struct {
	o       Options
	inbox   chan func(now time.Time)
	board   *sched.Scheduler
	placer  *place.Placer
	visits  *repeat.Book
	waiting map[string]*waiter
	rules   *rule.Rules
	hosts   *hosts.Table
	open    atomic.Int64
	queued  atomic.Int64

	releases sync.WaitGroup
}

var _ Decider = (*Coordinator)(nil)

// New returns a coordinator, which does nothing until Run is called.
func New(o Options) *Coordinator {
	return &Coordinator{
		o: o, inbox: make(chan func(time.Time), inboxSize), board: sched.New(), placer: place.New(), visits: repeat.New(), waiting: map[string]*waiter{},
	}
}

// Load is the number of requests that are decided on here, and of their pieces that wait for a call.
func (l *Coordinator) Load() (open, queued int64) { return l.open.Load(), l.queued.Load() }

// Finish waits until no order is open or ctx ends, then gives up what is still held.
func (l *Coordinator) Finish(ctx context.Context) {
	open := 1
	for open > 0 && ctx.Err() == nil {
		if !l.ask(ctx, func() { open = l.board.Jobs() }) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(finishPoll):
		}
	}
	l.o.Log.Info("leader finished", zap.Int("openOrders", open))
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishRelease)
	defer cancel()
	l.ask(last, l.board.CancelAll)
	l.releases.Wait()
}

// ask runs f on the goroutine that owns the state, and carries out what follows from it.
func (l *Coordinator) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	l.inbox <- func(now time.Time) {
		f()
		l.carryOut(l.board.Step(now), now)
		close(done)
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run owns all state until ctx ends.
func (l *Coordinator) Run(ctx context.Context) {
	timer := time.NewTimer(sweepEvery)
	defer timer.Stop()
	swept, counted := l.o.Now(), l.o.Now()
	var next time.Time // when the board is to be looked at again at the earliest
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.inbox:
			l.guard(func() {
				f(l.o.Now())
				l.drainInbox()
			})
		case <-timer.C:
		}
		now := l.o.Now()
		if gap := next.Sub(now); gap > 0 {
			timer.Reset(gap)
			continue
		}
		l.guard(func() {
			l.refresh()
			l.carryOut(l.board.Step(now), now)
		})
		next = now.Add(stepShare * l.o.Now().Sub(now))
		if latest := l.o.Now().Add(longestGap); next.After(latest) {
			next = latest
		}
		if now.Sub(counted) >= tick {
			l.open.Store(int64(l.board.Jobs()))
			l.queued.Store(int64(l.board.Queued()))
			counted = now
		}
		if now.Sub(swept) > sweepEvery {
			l.placer.Sweep(now)
			l.visits.Sweep(now)
			swept = now
		}
		wait := sweepEvery
		if len(l.waiting) > 0 {
			wait = tick
		}
		timer.Reset(wait)
	}
}

// guard keeps a fault in one decision from ending the process: all orders are refused, and decisions begin anew.
func (l *Coordinator) guard(decide func()) {
	defer func() {
		failed := recover()
		if failed == nil {
			return
		}
		l.o.Log.Error("decisions failed, all orders are refused", zap.Any("panic", failed), zap.Stack("stack"), zap.Int("orders", len(l.waiting)))
		waiting := l.waiting
		l.board, l.placer, l.waiting = sched.New(), place.New(), map[string]*waiter{}
		l.rules, l.hosts = nil, nil // taken over again before the next decision
		for _, w := range waiting {
			if w.reply != nil {
				w.reply(Decision{Refused: sched.Failing, RetryAfter: time.Second})
			}
		}
	}()
	decide()
}

func (l *Coordinator) drainInbox() {
	for {
		select {
		case f := <-l.inbox:
			f(l.o.Now())
		default:
			return
		}
	}
}

// refresh takes over a new configuration or new upstreams.
func (l *Coordinator) refresh() {
	if rules := l.o.Rules(); rules != l.rules {
		l.rules = rules
		for _, p := range rules.Pools() {
			if p.Batch != nil {
				l.board.SetPool(p.Name, *p.Batch)
			}
		}
		l.hosts = nil
	}
	if table := l.o.Hosts(); table != l.hosts {
		l.hosts = table
		l.board.SetUpstreams(table)
		l.placer.SetUpstreams(table)
	}
}

// Submit asks for a decision.
func (l *Coordinator) Submit(o Order, reply func(Decision)) {
	l.inbox <- func(now time.Time) {
		l.refresh()
		if waited := l.visits.Note(o.Fingerprint, o.Job.Arrived, o.Job.Deadline); waited > 0 {
			o.Job.Target = o.Job.Target.Add(-waited)
			l.o.Log.Info("caller comes back", zap.String("request", o.Job.Request), zap.Duration("waited", waited))
		}
		if _, paused := l.placer.Opens(o.Engine, l.hosts, now); paused {
			reply(l.noEngine(o.Engine, now))
			return
		}
		o.Job.FinalStep = l.placer.FinalStep(o.Engine, l.hosts, now)
		if o.Job.ReadsLargeResults() {
			o.Job.Zone = l.placer.Zone(o.Engine, l.hosts, l.engineSpec(o.Engine.Pool), now)
		}
		l.waiting[o.Job.ID] = &waiter{order: o, reply: reply}
		l.board.Submit(o.Job, now)
	}
}

// Retry asks for another decision after a problem with an engine.
func (l *Coordinator) Retry(id, engine string, why Problem, reply func(Decision)) {
	l.inbox <- func(now time.Time) {
		w := l.waiting[id]
		if w == nil {
			reply(Decision{Refused: sched.Failing, RetryAfter: time.Second})
			return
		}
		w.reply = reply
		w.order.Engine.Exclude = append(w.order.Engine.Exclude, engine)
		switch why {
		case ProblemFailed:
			l.fail(engine, now)
		case ProblemInputLost:
			l.placer.Ended(id)
			if !l.board.Restart(id, now) {
				l.answer(id, w, Decision{Refused: sched.Failing, RetryAfter: time.Second})
			}
			return
		}
		l.place(w, now)
	}
}

// Recall gives an order back as soon as none of its pieces is in a call.
func (l *Coordinator) Recall(id string) {
	l.inbox <- func(time.Time) {
		if w := l.waiting[id]; w != nil && w.reply != nil {
			l.board.Recall(id)
		}
	}
}

// FirstByte releases what the request has read, unless it may go on at another engine.
func (l *Coordinator) FirstByte(id string, keep bool) {
	l.inbox <- func(now time.Time) {
		l.placer.FirstByte(id, now)
		if keep {
			return
		}
		l.board.Release(id)
		delete(l.waiting, id)
	}
}

// Ended forgets a request.
func (l *Coordinator) Ended(id, engine string, failed bool) {
	l.inbox <- func(now time.Time) {
		if failed {
			l.fail(engine, now)
		}
		l.placer.Ended(id)
		l.board.Cancel(id)
		delete(l.waiting, id)
	}
}

// Crashed counts a breakdown of an upstream.
func (l *Coordinator) Crashed(fingerprint uint64, lifetime string, sent time.Time) {
	if l.o.Crash.Crashed(fingerprint, lifetime, sent) {
		l.o.Log.Warn("requests with this fingerprint break down upstreams, they are refused for a while",
			zap.Uint64("fingerprint", fingerprint))
	}
}

// UpstreamNotice applies what an upstream told an entry.
func (l *Coordinator) UpstreamNotice(entry string, n notices.Notice) {
	l.o.Notices.Told(n)
	if n.Pause <= 0 {
		return
	}
	l.inbox <- func(now time.Time) {
		l.refresh()
		until := now.Add(n.Pause)
		if u, known := l.hosts.Get(n.Of.ID); known && u.Born == n.Of.Born {
			if p, ok := l.rules.Pool(u.Pool); ok && p.Engine != nil {
				l.placer.Pause(u.ID, entry, until)
			}
			l.board.Pause(u.ID, until)
		}
	}
}

// Served forgets the breakdowns under a request that was answered.
func (l *Coordinator) Served(fingerprint uint64) { l.o.Crash.Served(fingerprint) }

func (l *Coordinator) fail(engine string, now time.Time) {
	if until := l.placer.Failed(engine, now); until > 0 {
		if u, known := l.o.Hosts().Get(engine); known {
			l.o.Stats.Ejected(u.Pool)
		}
		l.o.Log.Info("engine ejected", zap.String("upstream", engine), zap.Duration("for", until))
	}
}

// place picks the engine of a request whose stages are done.
func (l *Coordinator) place(w *waiter, now time.Time) {
	id := w.order.Job.ID
	up, ok := l.placer.Pick(w.order.Engine, l.hosts, l.engineSpec(w.order.Engine.Pool), now)
	if !ok {
		l.answer(id, w, l.noEngine(w.order.Engine, now))
		return
	}
	l.answer(id, w, Decision{Upstream: up.ID, Inputs: w.grant.Inputs, Late: w.grant.Late})
}

// noEngine refuses an order until the first engine may get something from its entry again.
func (l *Coordinator) noEngine(o place.Order, now time.Time) Decision {
	if opens, paused := l.placer.Opens(o, l.hosts, now); paused {
		return Decision{Refused: sched.Paused, RetryAfter: opens}
	}
	return Decision{Refused: sched.NoUpstreams, RetryAfter: time.Second}
}

// engineSpec is what the configuration says of the engines of a pool.
func (l *Coordinator) engineSpec(pool string) rule.Engine {
	if p, ok := l.rules.Pool(pool); ok && p.Engine != nil {
		return *p.Engine
	}
	return rule.Engine{}
}

func (l *Coordinator) answer(id string, w *waiter, d Decision) {
	if d.Refused != "" {
		l.board.Cancel(id)
		delete(l.waiting, id)
	}
	if w.reply != nil {
		reply := w.reply
		w.reply = nil
		reply(d)
	}
}

// carryOut starts calls and answers orders.
func (l *Coordinator) carryOut(out sched.Output, now time.Time) {
	for _, g := range out.Grants {
		w := l.waiting[g.Job]
		if w == nil {
			l.board.Cancel(g.Job)
			continue
		}
		w.grant = g
		w.order.Engine.ByZone = g.ByZone
		l.place(w, now)
	}
	for _, r := range out.Refusals {
		if w := l.waiting[r.Job]; w != nil {
			l.answer(r.Job, w, Decision{Refused: r.Reason, RetryAfter: r.RetryAfter})
		}
	}
	for _, h := range out.Handovers {
		if w := l.waiting[h.Job]; w != nil {
			delete(l.waiting, h.Job)
			l.o.Log.Info("order handed over", zap.String("request", w.order.Job.Request), zap.Int("stagesDone", stagesDone(h.Stages)))
			l.answer(h.Job, w, Decision{Moved: true, Progress: h.Stages})
		}
	}
	for _, a := range out.Advances {
		if w := l.waiting[a.Job]; w != nil && w.reply != nil {
			w.reply(Decision{Pending: true, Progress: a.Stages})
		}
	}
	for _, b := range out.Batches {
		l.o.Log.Info("stage call", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID),
			zap.String("pool", b.Upstream.Pool), zap.Int("pieces", len(b.Items)), zap.Duration("expected", b.Expected),
			zap.Int("waitInTime", b.InTime), zap.Int("waitLate", b.Late), zap.Int64("room", b.Room),
			zap.Duration("listAge", now.Sub(l.hosts.Read())), zap.Strings("requests", requestsOf(b.Items)))
		go l.runBatch(b)
	}
	for _, r := range out.Releases {
		if d := l.o.Notices.Opens(r.Upstream.Lifetime()); d > 0 {
			l.releaseLater(r, d)
			continue
		}
		l.releases.Go(func() { l.release(r) })
	}
	for _, u := range out.Probes {
		go l.probe(u)
	}
}

// probe asks an upstream for the memory that it has left.
func (l *Coordinator) probe(u hosts.Upstream) {
	free, err := l.askFree(u)
	if err != nil {
		l.o.Log.Info("report failed", zap.String("upstream", u.ID), zap.Error(err))
		return
	}
	l.o.Log.Info("report", zap.String("upstream", u.ID), zap.Int64("freeBytes", free))
	l.inbox <- func(now time.Time) { l.board.SetFree(u.ID, free, now) }
}

func (l *Coordinator) askFree(u hosts.Upstream) (int64, error) {
	got, failure := l.exchange(u, releaseLimit, 0, uphttp.Request{
		Method: http.MethodGet, URI: l.o.Codec.ReportPath, Header: http.Header{},
	})
	if failure != nil {
		return 0, failure
	}
	return l.o.Codec.DecodeFreeBytes(got.body)
}

// reply is an answer of a stage upstream.
type reply struct {
	status  int
	body    []byte
	repeats bool // it is the same as one before on its connection
}

// exchange sends a request to a stage upstream and returns the whole answer, which may hold a
// number of results.
func (l *Coordinator) exchange(u hosts.Upstream, limit time.Duration, results int, r uphttp.Request) (reply, *fault.Error) {
	if d := l.o.Notices.Opens(u.Lifetime()); d > 0 {
		return reply{}, fault.New(fault.NotRun, fault.Overloaded, "%s wants nothing for now", u.ID).WithRetryAfter(d)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.Host = u.Address
	answer, failure := l.o.Client.Do(ctx, u.Address, r)
	if failure != nil {
		return reply{}, failure
	}
	defer answer.Close()
	l.o.Notices.Answer(u, answer.Status, answer.Head)
	most := int64(maxAnswer + results*maxResult)
	data, err := io.ReadAll(io.LimitReader(answer, most+1))
	switch {
	case err != nil:
		return reply{}, fault.New(fault.MayHaveRun, fault.Incomplete, "the answer of %s is cut off", u.ID).WithCause(err)
	case int64(len(data)) > most:
		return reply{}, fault.New(fault.MayHaveRun, fault.Malformed, "the answer of %s is longer than %d bytes", u.ID, most)
	}
	return reply{status: answer.Status, body: data, repeats: results > 0 && answer.Repeats(xxhash.Sum64(data))}, nil
}

// runBatch carries one call to a stage upstream.
func (l *Coordinator) runBatch(b sched.Batch) {
	results, failure := l.callBatch(b)
	busy := failure != nil && failure.Code == fault.Overloaded
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Code)
	}
	l.o.Stats.StageCall(b.Upstream.Pool, outcome, len(b.Items))
	if failure != nil {
		l.o.Log.Info("stage call failed", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID), zap.Error(failure))
	}
	l.inbox <- func(now time.Time) {
		if failure != nil {
			l.board.Failed(b.ID, busy, now)
			return
		}
		l.logPieces(b, results)
		l.board.Finished(b.ID, results, now)
	}
}

// logPieces notes pieces without a result.
func (l *Coordinator) logPieces(b sched.Batch, results []call.Result) {
	failed := map[call.Failure]int{}
	for _, r := range results {
		if r.Failure != "" {
			failed[r.Failure]++
		}
	}
	for reason, n := range failed {
		l.o.Stats.FailedPieces(b.Upstream.Pool, string(reason), n)
		l.o.Log.Info("pieces failed", zap.Int64("call", b.ID), zap.String("upstream", b.Upstream.ID), zap.String("pool", b.Upstream.Pool),
			zap.String("reason", string(reason)), zap.Int("pieces", n), zap.Int("of", len(results)))
	}
}

func (l *Coordinator) callBatch(b sched.Batch) ([]call.Result, *fault.Error) {
	body, err := l.o.Codec.EncodeBatch(b.Items)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Internal, "a batch can't be encoded").WithCause(err)
	}
	got, failure := l.exchange(b.Upstream, b.Limit, len(b.Items), uphttp.Request{
		Method: http.MethodPost, URI: l.o.Codec.RunPath, Body: body, Header: l.o.Codec.HeaderFor(b.Upstream.ID, longest(b.Items)),
	})
	switch {
	case failure != nil:
		return nil, failure
	case got.status == http.StatusServiceUnavailable:
		return nil, fault.New(fault.NotRun, fault.Overloaded, "%s takes no call", b.Upstream.ID)
	case got.status != http.StatusOK:
		return nil, fault.New(fault.MayHaveRun, fault.Upstream, "%s answered with status %d", b.Upstream.ID, got.status)
	}
	results, err := l.o.Codec.DecodeBatch(got.body, len(b.Items))
	if err != nil {
		return nil, fault.New(fault.MayHaveRun, fault.Malformed, "results from %s can't be read", b.Upstream.ID).WithCause(err)
	}
	// Handles are never used twice, so this is the answer to another call.
	if got.repeats && slices.ContainsFunc(results, func(r call.Result) bool { return r.Handle != "" }) {
		return nil, fault.New(fault.MayHaveRun, fault.Malformed, "a second copy of an answer of %s", b.Upstream.ID)
	}
	return results, nil
}

func stagesDone(stages []sched.Progress) int {
	n := 0
	for _, s := range stages {
		if s.Done {
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

func longest(items []call.Item) time.Duration {
	var d time.Duration
	for _, it := range items {
		d = max(d, it.Remaining)
	}
	return d
}

// releaseLater gives up results once their upstream takes something again, unless they have expired by then.
func (l *Coordinator) releaseLater(r sched.Release, d time.Duration) {
	if d > longestRelease {
		l.o.Log.Info("results are left to expire", zap.String("upstream", r.Upstream.ID), zap.Int("results", len(r.Handles)))
		return
	}
	time.AfterFunc(d, func() { l.release(r) })
}

// release gives up results; a release that fails costs only memory until the results expire.
func (l *Coordinator) release(r sched.Release) {
	body, err := l.o.Codec.EncodeRelease(r.Handles)
	if err != nil {
		l.o.Log.Warn("a release can't be encoded", zap.Error(err))
		return
	}
	_, failure := l.exchange(r.Upstream, releaseLimit, 0, uphttp.Request{
		Method: http.MethodPost, URI: l.o.Codec.ReleasePath, Body: body, Header: l.o.Codec.HeaderFor(r.Upstream.ID, 0),
	})
	if failure != nil {
		l.o.Log.Info("release failed", zap.String("upstream", r.Upstream.ID), zap.Error(failure))
	}
}
