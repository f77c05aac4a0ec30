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

// Failure is the error of a failed request.
type Failure struct {
	*fault.Error
	// Action is the verdict on the request's action; empty without one.
	Action fault.Verdict
}

// requestRun is the state of one request. Only the request's goroutine uses its fields, except for those under mu.
type requestRun struct {
	executor        *Executor
	req             task.Request
	sink            Sink
	results         map[string]json.RawMessage // of the completed stages, by stage name
	lastChunks      [][]byte                   // result of the last completed stage
	streamed        bool                       // lastChunks are the tokens of a generation
	replayed        bool                       // some stage returned the recorded outcome of an earlier run
	alone           bool                       // attempts run with no other call in flight on their upstream
	retries         uint32
	overloadRetries uint32 // retries after a refusal for overload

	mu            sync.Mutex
	mayHaveRun    bool          // some attempt may have run
	actionVerdict fault.Verdict // of the request's action; empty without one
	costs         []Cost        // of all attempts that may have run
}

func newRequestRun(e *Executor, r task.Request, sink Sink) *requestRun {
	run := &requestRun{executor: e, req: r, sink: sink, alone: r.Alone, results: map[string]json.RawMessage{}}
	if r.HasAction() {
		run.actionVerdict = fault.NotRun
	}
	return run
}

// recordVerdict records that an attempt of st ended with v.
func (r *requestRun) recordVerdict(st stage.Spec, v fault.Verdict) {
	if v == fault.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayHaveRun = true
	if st.IsAction() {
		r.actionVerdict = v
	}
}

// addCost adds the cost of an attempt to the answer and passes it to the observer.
func (r *requestRun) addCost(c Cost) {
	r.mu.Lock()
	r.costs = append(r.costs, c)
	r.mu.Unlock()
	r.executor.observer.CountAttempt(r.req, c)
}

// failure extends the verdict of the last attempt to the whole request: NotRun becomes MayHaveRun if an earlier attempt
// may have run.
func (r *requestRun) failure(f *fault.Error) *Failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Verdict == fault.NotRun && r.mayHaveRun {
		f = f.WithVerdict(fault.MayHaveRun)
	}
	return &Failure{Error: f, Action: r.actionVerdict}
}

// answer returns the result of the last stage, with its digest, and the costs of all attempts.
func (r *requestRun) answer() Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := ident.NewDigest()
	for _, c := range r.lastChunks {
		d.Add(c)
	}
	return Answer{Chunks: r.lastChunks, Digest: d.Sum(), Streamed: r.streamed, Replayed: r.replayed, Costs: r.costs}
}

// storeResult stores the result of a stage as input of the later stages.
func (r *requestRun) storeResult(st stage.Spec, chunks [][]byte, replayed bool) {
	r.lastChunks = chunks
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

// stageInput is the body of a stage call: the request's input and the results of earlier stages by name.
type stageInput struct {
	Input   json.RawMessage            `json:"input"`
	Results map[string]json.RawMessage `json:"results"`
}

// encodeInput returns the body of the next stage's calls.
func (r *requestRun) encodeInput() ([]byte, *fault.Error) {
	body, err := json.Marshal(stageInput{Input: r.req.Input, Results: r.results})
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Internal, "encode the stage's input").WithCause(err)
	}
	return body, nil
}

// stageInfo describes stage i to the policy.
func (r *requestRun) stageInfo(i int) StageInfo {
	st := r.req.Stages[i]
	return StageInfo{
		Pipeline:      r.req.Pipeline.Name,
		Stage:         st.Name,
		Pool:          st.Pool,
		Class:         r.req.Class(),
		Repeatable:    !st.IsAction(),
		Remaining:     time.Until(r.req.Deadline),
		LaterEstimate: r.laterEstimate(i),
	}
}

// laterEstimate is the expected time of all stages after index i.
func (r *requestRun) laterEstimate(i int) time.Duration {
	var sum time.Duration
	for _, st := range r.req.Stages[i+1:] {
		sum += r.executor.policy.Estimate(StageInfo{Pipeline: r.req.Pipeline.Name, Stage: st.Name, Class: r.req.Class()})
	}
	return sum
}
