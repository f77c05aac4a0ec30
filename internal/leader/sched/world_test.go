package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

const (
	worldStep  = 5 * time.Millisecond
	finalStep  = 150 * time.Millisecond // from the end of the stages to the first byte
	slowFactor = 5.0
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

// upstream is a stage upstream: one call at a time, and memory for results.
type upstream struct {
	size    int64
	results map[string]int64
	used    int64
	freeAt  time.Time
	factor  float64
	silent  bool
}

// outcome is what became of one job.
type outcome struct {
	kind    string
	begun   time.Time
	target  time.Time
	decided time.Time // granted or refused
	granted bool
	first   time.Time // of the answer
	began   bool      // a call held one of its pieces
}

// world plays upstreams and callers around a board.
type world struct {
	board     *sched.Scheduler
	now       time.Time
	events    []event
	upstreams map[string]*upstream
	pools     map[string]rule.Batch
	jobs      map[string]*outcome
	random    *rand.Rand
	handles   int
	broken    []string // promises that the board broke
	work      func(job string, stage int) float64
}

func newWorld(pools map[string]rule.Batch, count int, seed uint64) *world {
	w := &world{
		board: sched.New(), now: start, upstreams: map[string]*upstream{}, pools: pools, jobs: map[string]*outcome{},
		random: rand.New(rand.NewPCG(seed, 1)), work: func(string, int) float64 { return 1 },
	}
	for name, spec := range pools {
		w.board.SetPool(name, spec)
	}
	w.board.SetUpstreams(w.table(count))
	for name, spec := range pools {
		for i := range count {
			w.upstreams[fmt.Sprintf("%s-%d", name, i)] = &upstream{size: spec.Headroom, results: map[string]int64{}, factor: 1}
		}
	}
	return w
}

func (w *world) table(count int) *hosts.Table {
	var all []hosts.Upstream
	for name := range w.pools {
		for i := range count {
			all = append(all, hosts.Upstream{
				ID: fmt.Sprintf("%s-%d", name, i), Pool: name, Zone: fmt.Sprintf("zone-%d", i%3), State: hosts.Ready,
			})
		}
	}
	return hosts.New(all, w.now)
}

func (w *world) after(d time.Duration, do func(now time.Time)) {
	w.events = append(w.events, event{at: w.now.Add(d), do: do})
}

// run plays until the end of the given time and of all that is on its way.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(worldStep) {
		slices.SortStableFunc(w.events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			e := w.events[0]
			w.events = w.events[1:]
			e.do(w.now)
		}
		w.carryOut(w.board.Step(w.now))
	}
}

func (w *world) submit(kind string, j sched.Job) {
	w.jobs[j.ID] = &outcome{kind: kind, begun: w.now, target: j.Target}
	w.board.Submit(j, w.now)
}

func (w *world) carryOut(out sched.Output) {
	for _, g := range out.Grants {
		o := w.jobs[g.Job]
		o.decided, o.granted = w.now, true
		w.after(finalStep, func(now time.Time) {
			o.first = now
			for _, h := range g.Inputs {
				if !w.exists(h) {
					w.broken = append(w.broken, "granted with an input that is gone: "+h)
				}
			}
			w.board.Release(g.Job)
		})
	}
	for _, r := range out.Refusals {
		w.jobs[r.Job].decided = w.now
		if r.RetryAfter <= 0 {
			w.broken = append(w.broken, "refused without a time to come back")
		}
	}
	for _, r := range out.Releases {
		u := w.upstreams[r.Upstream.ID]
		for _, h := range r.Handles {
			u.used -= u.results[h]
			delete(u.results, h)
		}
	}
	for _, b := range out.Batches {
		w.begin(b)
	}
}

func (w *world) exists(handle string) bool {
	for _, u := range w.upstreams {
		if _, ok := u.results[handle]; ok {
			return true
		}
	}
	return false
}

// begin runs a call once the upstream has ended the one before.
func (w *world) begin(b sched.Batch) {
	u := w.upstreams[b.Upstream.ID]
	if u.silent {
		return
	}
	spec := w.pools[b.Upstream.Pool]
	took := spec.Call
	for _, it := range b.Items {
		w.jobs[it.RequestID].began = true
		took += time.Duration(w.work(it.RequestID, it.Stage) * float64(spec.Piece))
	}
	if len(b.Items) > spec.Size {
		w.broken = append(w.broken, "a call holds too many pieces")
	}
	turn := w.now
	if u.freeAt.After(turn) {
		turn = u.freeAt
	}
	u.freeAt = turn.Add(time.Duration(u.factor * float64(took)))
	w.after(u.freeAt.Sub(w.now), func(now time.Time) {
		results := make([]call.Result, len(b.Items))
		for i, it := range b.Items {
			results[i] = w.result(u, it, w.sizeOf(it))
		}
		w.board.Finished(b.ID, results, now)
	})
}

func (w *world) sizeOf(it call.Item) int64 {
	return resultBytes[w.jobs[it.RequestID].kind][it.Stage]
}

// resultBytes are the sizes of results by kind and stage.
var resultBytes = map[string][]int64{}

func (w *world) result(u *upstream, it call.Item, bytes int64) call.Result {
	for _, h := range it.Inputs {
		if !w.exists(h) {
			return call.Result{Failure: call.FailedInputGone}
		}
	}
	if u.used+bytes > u.size {
		return call.Result{Failure: call.FailedNoMemory}
	}
	w.handles++
	h := fmt.Sprintf("h%d", w.handles)
	u.results[h] = bytes
	u.used += bytes
	return call.Result{Handle: h}
}
