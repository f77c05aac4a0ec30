package serve

import (
	"context"
	"errors"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// callCase is a case of testdata/calls.yaml. A request field that is empty has the value that request sets.
type callCase struct {
	Name        string       `yaml:"name"`
	Kind        string       `yaml:"kind"`
	Fault       worker.Fault `yaml:"fault"`
	Then        worker.Fault `yaml:"then"`
	Once        bool         `yaml:"once"`
	After       int          `yaml:"after"`
	Held        int          `yaml:"held"`
	DelayMs     int64        `yaml:"delayMs"`
	RemainingMs int64        `yaml:"remainingMs"`
	EstimateMs  int64        `yaml:"estimateMs"`
	Incarnation string       `yaml:"incarnation"`
	Action      bool         `yaml:"action"`
	Want        callWant     `yaml:"want"`
}

// callWant is what the caller receives, how often the upstream runs the call and how many stray answers it sends.
type callWant struct {
	Verdict  string `yaml:"verdict"`
	Code     string `yaml:"code"`
	Chunks   int    `yaml:"chunks"`
	Runs     int    `yaml:"runs"`
	InFlight uint32 `yaml:"crowd"`
	Strays   int64  `yaml:"strays"`
}

func TestCalls(t *testing.T) {
	var cases []callCase
	readYAML(t, "testdata/calls.yaml", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCase(t, tc) })
		})
	}
}

func runCase(t *testing.T, tc callCase) {
	c := qt.New(t)
	side := newTestSide(t, Options{Pool: pool.Spec{Name: "p", SilentMs: 2000}}, tc.plan())
	req := request("r1", tc.Kind)
	req.Id.Incarnation = tc.Incarnation
	req.Repeatable = !tc.Action
	req.EstimateMs = tc.EstimateMs
	if tc.RemainingMs > 0 {
		req.RemainingMs = tc.RemainingMs
	}
	for _, token := range worker.Answer(upstream.Call{Kind: tc.Kind, Body: req.Body}, 0)[:tc.Held] {
		req.Held = append(req.Held, string(token))
	}
	got := side.call(req)
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.failure.GetVerdict(), qt.Equals, tc.Want.Verdict)
	c.Assert(got.failure.GetCode(), qt.Equals, tc.Want.Code)
	c.Assert(got.failure.GetInFlight(), qt.Equals, tc.Want.InFlight)
	c.Assert(len(got.chunks), qt.Equals, tc.Want.Chunks)
	c.Assert(len(side.worker.Runs()), qt.Equals, tc.Want.Runs)
	c.Assert(side.server.Counts().StrayAnswers, qt.Equals, tc.Want.Strays)
	c.Assert(side.worker.Open(), qt.Equals, 0)
	if tc.Want.Verdict == "" {
		c.Assert(got.whole, qt.IsNotNil)
		c.Assert(got.whole.Count, qt.Equals, uint64(tc.Want.Chunks+tc.Held))
		c.Assert(got.whole.Digest, qt.Equals, digest(worker.Answer(upstream.Call{Kind: tc.Kind, Body: req.Body}, 0)))
	}
}

// plan returns the worker's plan: Fault for the first call. Later calls get Then if it is set, no fault if only Once is
// set, and otherwise Fault again.
func (tc callCase) plan() func(upstream.Call) worker.Plan {
	n := 0
	return func(upstream.Call) worker.Plan {
		n++
		p := worker.Plan{Fault: tc.Fault, After: tc.After, Delay: time.Duration(tc.DelayMs) * time.Millisecond}
		if n > 1 && (tc.Once || tc.Then != "") {
			p.Fault = tc.Then
		}
		return p
	}
}

// testSide is a running side with its worker.
type testSide struct {
	t      *testing.T
	node   *inmem.Node
	server *Server
	worker *worker.Worker
	stop   func()
}

// newTestSide starts a side with a worker that follows plan; opts.Upstream replaces the worker if it is set.
func newTestSide(t *testing.T, opts Options, plan func(upstream.Call) worker.Plan) *testSide {
	w := worker.New(plan)
	if opts.Upstream == nil {
		opts.Upstream = w
	}
	if opts.Incarnation == "" {
		opts.Incarnation = "i1"
	}
	s, err := New(opts)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	n := inmem.NewNode()
	n.Start(s)
	stop := func() {
		cancel()
		n.Kill()
		<-done
	}
	t.Cleanup(stop)
	return &testSide{t: t, node: n, server: s, worker: w, stop: stop}
}

// callResult is what a caller received.
type callResult struct {
	started bool
	chunks  [][]byte
	whole   *sidepb.Whole
	failure *sidepb.Failure
	err     error
}

// call makes a call and waits for the end of its answer.
func (side *testSide) call(req *sidepb.CallRequest) callResult {
	stream, err := inmem.New(side.node, nil).Call(side.t.Context(), req)
	if err != nil {
		return callResult{err: err}
	}
	return collect(stream)
}

// collect reads an answer to its end.
func collect(stream grpc.ServerStreamingClient[sidepb.CallFrame]) callResult {
	var g callResult
	for {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return g
		}
		if err != nil {
			g.err = err
			return g
		}
		g.started = g.started || f.GetStarted() != nil
		if f.GetChunk() != nil {
			g.chunks = append(g.chunks, f.GetChunk().Data)
		}
		if f.GetWhole() != nil {
			g.whole = f.GetWhole()
		}
		if f.GetFailure() != nil {
			g.failure = f.GetFailure()
		}
	}
}

// request returns a repeatable call with 11 s to its deadline; an empty kind means encode.
func request(id, kind string) *sidepb.CallRequest {
	if kind == "" {
		kind = "encode"
	}
	return &sidepb.CallRequest{
		Id:          &sidepb.Identity{RequestId: id, Stage: "s", Attempt: 1},
		Team:        "team",
		Kind:        kind,
		Body:        []byte(`{"of":"` + id + `"}`),
		RemainingMs: 11000,
		Repeatable:  true,
	}
}

func digest(chunks [][]byte) string {
	d := ident.NewDigest()
	for _, chunk := range chunks {
		d.Add(chunk)
	}
	return d.Sum()
}

func readYAML(t *testing.T, file string, into any) {
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, yaml.UnmarshalWithOptions(data, into, yaml.Strict()), qt.IsNil)
}
