package trial

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

// request is one caller's request on its way through the stages.
type request struct {
	w         *world
	entry     *entry
	line      *Pipeline
	lineNo    int
	team      string
	prefix    int
	arrived   time.Time
	deadline  time.Time
	stage     int
	retries   int
	overloads int // retries after a refusal for overload
	tried     []string
	attempts  []*attempt
	timer     *event
	first     time.Time
	over      bool
	work      map[string]float64
}

func (r *request) start() {
	r.timer = r.w.loop.after(r.deadline.Sub(r.w.loop.now), func() {
		r.end(fault.New(fault.MayHaveRun, fault.Deadline, "deadline passed"))
	})
	r.entry.begin(r)
}

func (r *request) now() *Stage { return &r.line.Stages[r.stage] }

func (r *request) class() pipe.SizeClass { return r.line.class() }

func (r *request) remaining() time.Duration { return r.deadline.Sub(r.w.loop.now) }

// end gives the final answer; err is nil for a whole one.
func (r *request) end(err *fault.Error) {
	if r.over {
		return
	}
	r.over = true
	r.w.loop.cancel(r.timer)
	r.cancelOthers(nil)
	r.w.result.ended(r, err)
}

// cancelOthers stops every open attempt but keep.
func (r *request) cancelOthers(keep *attempt) {
	for _, a := range r.attempts {
		if a != keep && !a.over {
			a.abandon()
		}
	}
	r.attempts = r.attempts[:0]
}

// open says whether an attempt is still under way.
func (r *request) open() bool {
	for _, a := range r.attempts {
		if !a.over {
			return true
		}
	}
	return false
}

// attempt is one call of one stage.
type attempt struct {
	req      *request
	stage    *Stage
	stageNo  int
	side     *side
	gauge    *gauge.Gauge
	hedge    bool
	reserved time.Duration // of the hedge budget
	first    bool          // of its stage
	sent     time.Time
	work     float64 // seconds
	prefill  float64
	done     float64 // seconds of work that an engine spent on it
	task     *task
	job      *sched.Job[*attempt]
	resume   func()
	working  bool // holds a worker of the naive version
	timer    *event
	over     bool
	began    time.Time     // first token
	pace     time.Duration // between tokens, known when the call ends
}

func (a *attempt) ticket() sched.Call {
	return sched.Call{
		Team:        a.req.team,
		SizeClass:   a.req.class(),
		Remaining:   a.req.remaining(),
		LaterStages: a.req.entry.after(a.req),
	}
}

func (a *attempt) firstToken() {
	a.began = a.req.w.loop.now
	if a.req.first.IsZero() {
		a.req.first = a.began
	}
}

// tokens is the number of tokens that the call generates.
func (a *attempt) tokens() float64 {
	if a.stage.TokenMs == 0 {
		return 0
	}
	return (a.work - a.prefill) / a.stage.TokenMs * 1000
}

// paced is the time between tokens, 0 for a call that generates none.
func (a *attempt) paced() time.Duration {
	n := a.tokens()
	if n < 1 {
		return 0
	}
	return time.Duration(float64(a.req.w.loop.now.Sub(a.began)) / n)
}

// close ends the attempt at the entry; false if it had ended before.
func (a *attempt) close(expected time.Duration) bool {
	if a.over {
		return false
	}
	a.over = true
	a.req.w.loop.cancel(a.timer)
	now := a.req.w.loop.now
	a.gauge.End(now.Sub(a.sent), expected, now)
	return true
}

func (a *attempt) succeed(report gauge.Report) {
	r := a.req
	r.entry.observe(a, report)
	if !a.close(r.entry.expected(a)) {
		r.w.result.wasted += a.done
		return
	}
	r.entry.succeeded(a)
	r.work[a.stage.Pool] += a.done
	if a.tokens() >= 1 {
		r.w.result.interval(a.pace)
	}
	r.cancelOthers(a)
	r.stage++
	r.tried = r.tried[:0]
	if r.stage == len(r.line.Stages) {
		r.end(nil)
		return
	}
	r.entry.send(r, false)
}

func (a *attempt) fail(err *fault.Error) {
	if a.close(0) {
		a.req.entry.failed(a, err)
	}
}

// abandon gives the attempt up and tells the side.
func (a *attempt) abandon() {
	expected := a.req.entry.expected(a)
	if a.req.w.loop.now.Sub(a.sent) < expected {
		expected = 0
	}
	a.close(expected)
	w := a.req.w
	w.loop.after(w.delay(a), func() {
		a.side.cancel(a)
		w.result.wasted += a.done
		a.done = 0
	})
}
