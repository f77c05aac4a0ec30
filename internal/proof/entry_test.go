package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	verdict "github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const reconnectAfter = 200 * time.Millisecond

// pools lists the pools of the deployment and how many hosts each has.
var pools = []struct {
	spec  pool.Spec
	hosts int
}{
	{pool.Spec{Name: "encoders", Kind: pool.Stage, SilentMs: 2000, MaxConcurrency: 8}, 2},
	{pool.Spec{Name: "rankers", Kind: pool.Stage, SilentMs: 2000, MaxConcurrency: 8}, 2},
	{pool.Spec{Name: "runners", Kind: pool.Engine, SilentMs: 2000, MaxConcurrency: 8, Resumes: true}, 3},
	{pool.Spec{Name: "orders", Kind: pool.Service, SilentMs: 2000, MaxConcurrency: 8}, 3},
}

func repeatable(v bool) *bool { return &v }

var (
	encode   = stage.Spec{Name: "encode", Kind: stage.Encode, Pool: "encoders", Repeatable: repeatable(true)}
	rerank   = stage.Spec{Name: "rerank", Kind: stage.Rerank, Pool: "rankers", Repeatable: repeatable(true)}
	generate = stage.Spec{Name: "generate", Kind: stage.Generate, Pool: "runners", Repeatable: repeatable(true)}
	order    = stage.Spec{Name: "order", Kind: stage.Service, Pool: "orders", Repeatable: repeatable(false)}
)

// pipelines holds the pipelines of the deployment by name.
var pipelines = map[string][]stage.Spec{
	"summary":  {encode, rerank, generate},
	"lookup":   {encode, rerank},
	"transfer": {encode, order},
	"embed":    {encode},
	"confirm":  {order},
}

// expected computes the answer of a pipeline to an input without the system under test.
func expected(stages []stage.Spec, input []byte) [][]byte {
	type body struct {
		Input   json.RawMessage            `json:"input"`
		Results map[string]json.RawMessage `json:"results"`
	}
	results := map[string]json.RawMessage{}
	var last [][]byte
	for _, st := range stages {
		b, _ := json.Marshal(body{Input: input, Results: results}) // its parts always encode
		last = worker.Answer(upstream.Call{Kind: string(st.Kind), Body: b}, tokenCount(b))
		results[st.Name] = last[0]
	}
	return last
}

// entry is one entry process: the real executor, and a simple router and retry policy of the test.
type entry struct {
	env    *environment
	faults faultSet
	exec   *exec.Executor
	ctx    context.Context // ends when the process dies
	kill   context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	status map[string]*sidepb.Status
}

func newEntry(env *environment, faults faultSet) *entry {
	e := &entry{env: env, faults: faults, status: map[string]*sidepb.Status{}}
	e.ctx, e.kill = context.WithCancel(context.Background())
	e.exec = exec.New(e, e, e, zap.NewNop())
	for _, h := range env.hosts {
		if !env.naive {
			e.wg.Go(func() { e.watch(h) })
		}
	}
	return e
}

// terminate ends the process; nothing that it sends afterwards arrives.
func (e *entry) terminate() {
	e.kill()
	e.wg.Wait()
}

// watch follows the status of one side and reconnects when the stream breaks.
func (e *entry) watch(h *host) {
	for sleep(e.ctx, reconnectAfter) {
		stream, err := inmem.New(h.node, nil).Watch(e.ctx, &sidepb.WatchRequest{Entry: "e"})
		for err == nil {
			var st *sidepb.Status
			if st, err = stream.Recv(); err == nil {
				e.setStatus(h.name, st)
			}
		}
		e.setStatus(h.name, nil)
	}
}

func (e *entry) setStatus(name string, st *sidepb.Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status[name] = st
}

// Route picks a live host, preferably one that was not tried yet.
func (e *entry) Route(q target.Query) (target.Target, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var fresh, tried []*host
	for _, h := range e.env.hosts {
		st := e.status[h.name]
		if h.pool.Name != q.Pool || st.GetState() != "live" || !st.GetUpstreamHealthy() {
			continue
		}
		if slices.Contains(q.Avoid, h.name) {
			tried = append(tried, h)
		} else {
			fresh = append(fresh, h)
		}
	}
	if len(fresh) == 0 {
		fresh = tried
	}
	if len(fresh) == 0 {
		return target.Target{}, verdict.New(verdict.NotRun, verdict.NoUpstream, "pool %q has no live host", q.Pool)
	}
	h := pickOne(e.env.rnd, fresh...)
	return target.Target{
		Name:        h.name,
		Incarnation: e.status[h.name].GetIncarnation(),
		Side:        e.link(h),
		Done:        func(target.Report) {},
	}, nil
}

// Side returns a new connection to the side of a host.
func (e *entry) Side(name string) (sidepb.SideClient, bool) {
	for _, h := range e.env.hosts {
		if h.name == name {
			return e.link(h), true
		}
	}
	return nil, false
}

// Suspect does nothing because each call has its own connection.
func (e *entry) Suspect(string) {}

func (e *entry) link(h *host) *inmem.Link {
	plan := e.faults.linkPlanner(e.env)
	return inmem.New(h.node, func(m inmem.Method) inmem.Plan {
		if e.ctx.Err() != nil {
			return inmem.Plan{Drop: true}
		}
		return plan(m)
	})
}

// Estimate implements exec.Policy.
func (e *entry) Estimate(exec.StageInfo) time.Duration { return 20 * time.Millisecond }

// Observe implements exec.Policy.
func (e *entry) Observe(exec.StageInfo, exec.AttemptResult) {}

// Retry allows up to four attempts for calls that did not run or may be repeated.
func (e *entry) Retry(info exec.StageInfo, failed exec.FailedAttempt) (time.Duration, bool) {
	mayRepeat := failed.Fault.Verdict == verdict.NotRun || info.Repeatable
	return 50 * time.Millisecond, mayRepeat && failed.Attempt < 4 && info.Remaining > info.LaterEstimate
}

// HedgeAfter implements exec.Policy.
func (e *entry) HedgeAfter(exec.StageInfo) (time.Duration, bool) { return 300 * time.Millisecond, true }

// ReserveHedge implements exec.Policy.
func (e *entry) ReserveHedge(exec.StageInfo) (time.Duration, bool) { return 0, true }

// SettleHedge implements exec.Policy.
func (e *entry) SettleHedge(time.Duration, time.Duration) {}

// CountAttempt implements exec.Observer.
func (e *entry) CountAttempt(task.Request, exec.Cost) {}

// Crashed implements exec.Observer.
func (e *entry) Crashed(exec.Crash) {}

// Suspicion implements exec.Observer; it blames no request for a crash.
func (e *entry) Suspicion(string) exec.Suspicion { return exec.Unsuspected }

// Cleared implements exec.Observer.
func (e *entry) Cleared(string) {}

// outcome is what a caller received.
type outcome struct {
	chunks [][]byte
	err    *verdict.Error // nil if the answer is complete
	action verdict.Verdict
}

// serve runs a request; if the entry dies, its caller sees a broken connection.
func (e *entry) serve(r task.Request, sink exec.Sink) outcome {
	done := make(chan outcome, 1)
	e.wg.Go(func() {
		answer, f := e.exec.Run(e.ctx, r, sink)
		if f == nil {
			done <- outcome{chunks: answer.Chunks}
			return
		}
		done <- outcome{err: f.Error, action: f.Action}
	})
	select {
	case <-e.ctx.Done():
		return outcome{err: verdict.New(verdict.MayHaveRun, verdict.Transport, "connection to the entry broke"),
			action: verdict.MayHaveRun}
	case o := <-done:
		return o
	}
}

// naiveServe runs a request as a naive entry would: it retries on every error and accepts every frame.
func (e *entry) naiveServe(r task.Request, sink exec.Sink) outcome {
	results := map[string]json.RawMessage{}
	var last [][]byte
	for _, st := range r.Stages {
		body, _ := json.Marshal(map[string]any{"input": r.Input, "results": results}) // its parts always encode
		chunks, ok := e.naiveStage(r, st, body)
		if !ok {
			return naiveFailure(r)
		}
		last = chunks
		if len(chunks) == 0 {
			chunks = [][]byte{[]byte(`null`)}
		}
		results[st.Name] = chunks[0]
		if st.Kind == stage.Generate {
			results[st.Name], _ = json.Marshal(join(chunks))
		}
	}
	for i, c := range last {
		_ = sink.Token(uint64(i), c)
	}
	return outcome{chunks: last}
}

func naiveFailure(r task.Request) outcome {
	o := outcome{err: verdict.New(verdict.NotRun, verdict.Deadline, "stage failed")}
	if r.HasAction() {
		o.action = verdict.NotRun
	}
	return o
}

func (e *entry) naiveStage(r task.Request, st stage.Spec, body []byte) ([][]byte, bool) {
	for n := range 4 {
		t, err := e.naiveRoute(st.Pool)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(e.ctx, naiveTimeout)
		req := &sidepb.CallRequest{
			Id:   &sidepb.Identity{RequestId: r.ID, Stage: st.Name, Attempt: uint32(n + 1)},
			Kind: string(st.Kind),
			Body: body,
		}
		if st.IsAction() {
			req.Action = &sidepb.Action{Key: r.Key}
		}
		stream, err := e.link(t).Call(ctx, req)
		if err != nil {
			cancel()
			continue
		}
		chunks, v := naiveAnswer(stream)
		cancel()
		if v == "" {
			return chunks, true
		}
	}
	return nil, false
}

func (e *entry) naiveRoute(pool string) (*host, error) {
	var candidates []*host
	for _, h := range e.env.hosts {
		if h.pool.Name == pool {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return nil, fmt.Errorf("pool %q has no host", pool)
	}
	return pickOne(e.env.rnd, candidates...), nil
}
