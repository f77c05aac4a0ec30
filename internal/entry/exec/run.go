package exec

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
)

// Failure is a failed request.
type Failure struct {
	*fault.Error
	// Action is the verdict on the request's action; empty without one.
	Action fault.Verdict
}

// run is the state of one request; its fields belong to the request's goroutine but for those under mu.
type run struct {
	e        *Executor
	req      task.Request
	sink     Sink
	results  map[string]json.RawMessage
	last     [][]byte
	streamed bool
	replayed bool
	alone    bool // attempts run with nothing else in flight on their upstream
	retries  uint32
	overload uint32 // retries after a refusal for overload

	mu     sync.Mutex
	mayRun bool // some attempt may have run
	action fault.Verdict
	costs  []Cost
}

func newRun(e *Executor, r task.Request, sink Sink) *run {
	run := &run{e: e, req: r, sink: sink, alone: r.Alone, results: map[string]json.RawMessage{}}
	if r.HasAction() {
		run.action = fault.NotRun
	}
	return run
}

// mark notes that an attempt of st ended with v.
func (r *run) mark(st stage.Spec, v fault.Verdict) {
	if v == fault.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayRun = true
	if st.IsAction() {
		r.action = v
	}
}

func (r *run) charge(c Cost) {
	r.mu.Lock()
	r.costs = append(r.costs, c)
	r.mu.Unlock()
	r.e.watcher.CountAttempt(r.req, c)
}

// failure widens the verdict of the last attempt to the whole request.
func (r *run) failure(f *fault.Error) *Failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Verdict == fault.NotRun && r.mayRun {
		f = f.WithVerdict(fault.MayHaveRun)
	}
	return &Failure{Error: f, Action: r.action}
}

func (r *run) answer() Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := ident.NewDigest()
	for _, c := range r.last {
		d.Add(c)
	}
	return Answer{Chunks: r.last, Digest: d.Sum(), Streamed: r.streamed, Replayed: r.replayed, Costs: r.costs}
}

// keep stores the result of a stage for those after it.
func (r *run) keep(st stage.Spec, chunks [][]byte, replayed bool) {
	r.last = chunks
	r.streamed = st.Kind == stage.Generate
	r.replayed = r.replayed || replayed
	if !r.streamed {
		r.results[st.Name] = chunks[0]
		return
	}
	var text strings.Builder
	for _, c := range chunks {
		text.Write(c)
	}
	quoted, _ := json.Marshal(text.String()) // a string always encodes
	r.results[st.Name] = quoted
}

// stageInput is the body of a stage call.
type stageInput struct {
	Input   json.RawMessage            `json:"input"`
	Results map[string]json.RawMessage `json:"results"`
}

func (r *run) body() ([]byte, *fault.Error) {
	body, err := json.Marshal(stageInput{Input: r.req.Input, Results: r.results})
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Internal, "encode the stage's input").WithCause(err)
	}
	return body, nil
}

// work describes stage i to the policy.
func (r *run) work(i int) StageInfo {
	st := r.req.Stages[i]
	return StageInfo{
		Pipeline:      r.req.Pipeline.Name,
		Stage:         st.Name,
		Pool:          st.Pool,
		Class:         r.req.Class(),
		Repeatable:    !st.IsAction(),
		Remaining:     time.Until(r.req.Deadline),
		LaterEstimate: r.after(i),
	}
}

// after is how long the stages behind index i are expected to take.
func (r *run) after(i int) time.Duration {
	var sum time.Duration
	for _, st := range r.req.Stages[i+1:] {
		sum += r.e.policy.Estimate(StageInfo{Pipeline: r.req.Pipeline.Name, Stage: st.Name, Class: r.req.Class()})
	}
	return sum
}
