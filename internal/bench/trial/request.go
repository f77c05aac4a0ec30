package trial

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/sched"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
)

// request is one request in flight.
type request struct {
	sim             *simulation
	entry           *entry
	pipeline        *Pipeline
	pipelineIndex   int
	team            string
	prefix          int
	arrived         time.Time
	deadline        time.Time
	stage           int
	retries         int
	overloadRetries int // retries after a refusal for overload
	tried           []string
	attempts        []*attempt
	timer           *event
	firstTokenAt    time.Time
	finished        bool
	work            map[string]float64
}

func (r *request) start() {
	r.timer = r.sim.loop.after(r.deadline.Sub(r.sim.loop.now), func() {
		r.end(fault.New(fault.MayHaveRun, fault.Deadline, "deadline passed"))
	})
	r.entry.admitAndSend(r)
}

func (r *request) currentStage() *Stage { return &r.pipeline.Stages[r.stage] }

func (r *request) sizeClass() pipe.SizeClass { return r.pipeline.sizeClassOrShort() }

func (r *request) remaining() time.Duration { return r.deadline.Sub(r.sim.loop.now) }

// end finishes the request and records its outcome; err is nil for a complete answer.
func (r *request) end(err *fault.Error) {
	if r.finished {
		return
	}
	r.finished = true
	r.sim.loop.cancel(r.timer)
	r.cancelOthers(nil)
	r.sim.result.recordOutcome(r, err)
}

// cancelOthers abandons every open attempt but keep.
func (r *request) cancelOthers(keep *attempt) {
	for _, a := range r.attempts {
		if a != keep && !a.closed {
			a.abandon()
		}
	}
	r.attempts = r.attempts[:0]
}

// hasOpenAttempt reports whether an attempt is still in flight.
func (r *request) hasOpenAttempt() bool {
	for _, a := range r.attempts {
		if !a.closed {
			return true
		}
	}
	return false
}

// attempt is one call of one stage: the first one, a retry or a hedge.
type attempt struct {
	request       *request
	stage         *Stage
	stageIndex    int
	side          *side
	gauge         *gauge.Gauge
	hedge         bool
	reserved      time.Duration // taken from the hedge budget
	firstOfStage  bool
	sent          time.Time
	work          float64 // seconds at full speed
	prefill       float64
	workDone      float64 // seconds of work that an engine spent on the attempt
	task          *task
	job           *sched.Job[*attempt]
	resume        func()
	holdsWorker   bool // occupies a worker of a side without a scheduler
	timer         *event
	closed        bool
	firstTokenAt  time.Time
	tokenInterval time.Duration // mean time between tokens, set when the call ends
}

func (a *attempt) schedCall() sched.Call {
	return sched.Call{
		Team:        a.request.team,
		SizeClass:   a.request.sizeClass(),
		Remaining:   a.request.remaining(),
		LaterStages: a.request.entry.laterStages(a.request),
	}
}

func (a *attempt) recordFirstToken() {
	a.firstTokenAt = a.request.sim.loop.now
	if a.request.firstTokenAt.IsZero() {
		a.request.firstTokenAt = a.firstTokenAt
	}
}

// tokens returns the number of tokens that the call generates.
func (a *attempt) tokens() float64 {
	if a.stage.TokenMs == 0 {
		return 0
	}
	return (a.work - a.prefill) / a.stage.TokenMs * 1000
}

// meanTokenInterval returns the mean time between tokens, 0 for a call that generates none.
func (a *attempt) meanTokenInterval() time.Duration {
	n := a.tokens()
	if n < 1 {
		return 0
	}
	return time.Duration(float64(a.request.sim.loop.now.Sub(a.firstTokenAt)) / n)
}

// close ends the attempt at the entry; it returns false if the attempt had ended before.
func (a *attempt) close(expected time.Duration) bool {
	if a.closed {
		return false
	}
	a.closed = true
	a.request.sim.loop.cancel(a.timer)
	now := a.request.sim.loop.now
	a.gauge.End(now.Sub(a.sent), expected, now)
	return true
}

// succeed handles an answer: the request goes on to its next stage, and its other attempts are abandoned.
func (a *attempt) succeed(report gauge.Report) {
	r := a.request
	r.entry.observe(a, report)
	if !a.close(r.entry.expectedTime(a)) {
		r.sim.result.wasted += a.workDone
		return
	}
	r.entry.recordSuccess(a)
	r.work[a.stage.Pool] += a.workDone
	if a.tokens() >= 1 {
		r.sim.result.recordInterval(a.tokenInterval)
	}
	r.cancelOthers(a)
	r.stage++
	r.tried = r.tried[:0]
	if r.stage == len(r.pipeline.Stages) {
		r.end(nil)
		return
	}
	r.entry.send(r, false)
}

func (a *attempt) fail(err *fault.Error) {
	if a.close(0) {
		a.request.entry.handleFailure(a, err)
	}
}

// abandon closes the attempt and cancels it at the side. The gauge gets no expected time
// for an attempt that is abandoned before that time is up.
func (a *attempt) abandon() {
	expected := a.request.entry.expectedTime(a)
	if a.request.sim.loop.now.Sub(a.sent) < expected {
		expected = 0
	}
	a.close(expected)
	w := a.request.sim
	w.loop.after(w.delay(a), func() {
		a.side.cancel(a)
		w.result.wasted += a.workDone
		a.workDone = 0
	})
}
