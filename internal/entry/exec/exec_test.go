package exec_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// line is one step of a scripted stream.
type line struct {
	after time.Duration
	frame *sidepb.CallFrame
	eof   bool
	hang  bool // no more frames, and the stream stays open
}

// fakeSide answers each call with the next script.
type fakeSide struct {
	sidepb.SideClient
	mu       sync.Mutex
	scripts  [][]line
	calls    []*sidepb.CallRequest
	cancels  int
	cancelAs string // verdict of the reply to a cancel
	outcome  *sidepb.OutcomeReply
}

func (s *fakeSide) Call(ctx context.Context, in *sidepb.CallRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[sidepb.CallFrame], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, in)
	script := s.scripts[0]
	s.scripts = s.scripts[1:]
	return &fakeStream{ctx: ctx, id: in.GetId(), script: script}, nil
}

func (s *fakeSide) Cancel(context.Context, *sidepb.CancelRequest, ...grpc.CallOption) (*sidepb.CancelReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels++
	return &sidepb.CancelReply{Verdict: s.cancelAs}, nil
}

func (s *fakeSide) Outcome(context.Context, *sidepb.OutcomeRequest, ...grpc.CallOption) (*sidepb.OutcomeReply, error) {
	return s.outcome, nil
}

// fakeStream sends the frames of a script, numbered and with the identity of the call.
type fakeStream struct {
	grpc.ClientStream
	ctx    context.Context
	id     *sidepb.Identity
	script []line
	seq    uint64
}

func (s *fakeStream) Recv() (*sidepb.CallFrame, error) {
	if len(s.script) == 0 || s.script[0].eof {
		return nil, io.EOF
	}
	next := s.script[0]
	s.script = s.script[1:]
	if next.hang {
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	}
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-time.After(next.after):
	}
	frame := proto.Clone(next.frame).(*sidepb.CallFrame)
	if frame.Id == nil {
		frame.Id = s.id
		frame.Seq = s.seq
		s.seq++
	}
	return frame, nil
}

// chunk is a step that sends one chunk.
func chunk(index uint64, data string) line {
	return line{frame: &sidepb.CallFrame{Body: &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Index: index, Data: []byte(data)}}}}
}

// whole is a step that sends the last frame of a complete answer of the given chunks.
func whole(chunks ...string) line {
	d := ident.NewDigest()
	for _, c := range chunks {
		d.Add([]byte(c))
	}
	w := &sidepb.Whole{Count: d.Count(), Digest: d.Sum(), Cost: &sidepb.Cost{RunnerMs: 5}}
	return line{frame: &sidepb.CallFrame{Body: &sidepb.CallFrame_Whole{Whole: w}}}
}

// failed is a step that sends a failure frame.
func failed(v fault.Verdict, c fault.Code) line {
	f := &sidepb.Failure{Verdict: string(v), Code: string(c), Message: "scripted"}
	return line{frame: &sidepb.CallFrame{Body: &sidepb.CallFrame_Failure{Failure: f}}}
}

// foreign is a step that sends a chunk of another request.
func foreign() line {
	f := chunk(0, `"other"`)
	f.frame.Id = &sidepb.Identity{RequestId: "other", Stage: "embed", Attempt: 1}
	return f
}

// fakeRouter returns its sides in order and records all reports.
type fakeRouter struct {
	sides     []*fakeSide
	versions  []string // of the sides' weights; nil for unknown ones
	next      int
	avoided   [][]string
	suspected []string
	reports   []target.Report
	mu        sync.Mutex
}

func (r *fakeRouter) Route(q target.Query) (target.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.next % len(r.sides)
	for ; q.Version != "" && i < len(r.versions) && r.versions[i] != q.Version; i++ {
	}
	if i == len(r.sides) {
		return target.Target{}, fault.New(fault.NotRun, fault.NoUpstream, "no upstream with version %q", q.Version)
	}
	r.next = i + 1
	r.avoided = append(r.avoided, slices.Clone(q.Avoid))
	done := func(rep target.Report) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reports = append(r.reports, rep)
	}
	t := target.Target{Name: string(rune('a' + i)), Side: r.sides[i], Done: done}
	if r.versions != nil {
		t.Version = r.versions[i]
	}
	return t, nil
}

func (r *fakeRouter) Side(name string) (sidepb.SideClient, bool) {
	return r.sides[int(name[0]-'a')], true
}

func (r *fakeRouter) Suspect(name string) { r.suspected = append(r.suspected, name) }

// fakePolicy limits the attempts of a request and the free retries of a stage, and hedges after hedge if it is not 0.
type fakePolicy struct {
	attempts    uint32
	freeRetries uint32 // after refusals by draining upstreams
	hedge       time.Duration
}

func (p fakePolicy) Estimate(exec.StageInfo) time.Duration             { return 0 }
func (p fakePolicy) Observe(exec.StageInfo, exec.AttemptResult)        {}
func (p fakePolicy) ReserveHedge(exec.StageInfo) (time.Duration, bool) { return 0, true }
func (p fakePolicy) SettleHedge(time.Duration, time.Duration)          {}
func (p fakePolicy) HedgeAfter(exec.StageInfo) (time.Duration, bool)   { return p.hedge, p.hedge > 0 }
func (p fakePolicy) Retry(_ exec.StageInfo, t exec.FailedAttempt) (time.Duration, bool) {
	if t.Fault.Code == fault.Draining && t.FreeRetries < p.freeRetries {
		return 0, true
	}
	return 0, t.Retries+1 < p.attempts
}

// fakeWatcher is an Observer that records what it is told.
type fakeWatcher struct {
	mu      sync.Mutex
	costs   []exec.Cost
	crashes []exec.Crash
	cleared []string
}

// Suspicion is Suspect after one crash and Quarantined after two.
func (w *fakeWatcher) Suspicion(string) exec.Suspicion {
	switch len(w.crashes) {
	case 0:
		return exec.Unsuspected
	case 1:
		return exec.Suspect
	}
	return exec.Quarantined
}

func (w *fakeWatcher) Cleared(fingerprint string) { w.cleared = append(w.cleared, fingerprint) }

func (w *fakeWatcher) CountAttempt(_ task.Request, c exec.Cost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.costs = append(w.costs, c)
}

func (w *fakeWatcher) Crashed(c exec.Crash) { w.crashes = append(w.crashes, c) }

// sink collects the tokens of a stream; it panics if they are out of order.
type sink struct{ tokens []string }

func (s *sink) Token(index uint64, data []byte) error {
	if index != uint64(len(s.tokens)) {
		panic("token out of order")
	}
	s.tokens = append(s.tokens, string(data))
	return nil
}

// request returns a request with one stage of each kind. Only services must not be repeated, and only the pool of
// generations resumes.
func request(kinds ...stage.Kind) task.Request {
	r := task.Request{
		ID: "id", Label: "label", Key: "key", Input: []byte(`{}`),
		Pools:    map[string]pool.Spec{"resuming": {Resumes: true}, "plain": {}},
		Preset:   preset.Spec{HedgeBudget: 0.02},
		Deadline: time.Now().Add(10 * time.Second),
	}
	for _, k := range kinds {
		repeatable := k != stage.Service
		spec := stage.Spec{Name: string(k), Kind: k, Pool: "plain", Repeatable: &repeatable}
		if k == stage.Generate {
			spec.Pool = "resuming"
		}
		r.Stages = append(r.Stages, spec)
	}
	return r
}

// fixture holds the fakes that an executor runs with.
type fixture struct {
	router  *fakeRouter
	watcher *fakeWatcher
	policy  fakePolicy
}

// newFixture returns a fixture with one side for each script, which it can play twice; a request has three attempts.
func newFixture(scripts ...[]line) *fixture {
	r := &fakeRouter{}
	for _, s := range scripts {
		r.sides = append(r.sides, &fakeSide{scripts: [][]line{s, s}, cancelAs: string(fault.MayHaveRun)})
	}
	return &fixture{router: r, watcher: &fakeWatcher{}, policy: fakePolicy{attempts: 3}}
}

func (f *fixture) run(ctx context.Context, r task.Request, s exec.Sink) (exec.Answer, *exec.Failure) {
	return exec.New(f.router, f.policy, f.watcher, zap.NewNop()).Run(ctx, r, s)
}

var okay = []line{chunk(0, `"x"`), whole(`"x"`)}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		stages  []stage.Kind
		scripts [][]line
		want    fault.Verdict // Ran with an empty code is a complete answer
		code    fault.Code
		action  fault.Verdict
		calls   int
	}{
		{"first attempt returns the whole answer", []stage.Kind{stage.Encode}, [][]line{okay}, fault.Ran, "", "", 1},
		{"repeatable stage is tried again", []stage.Kind{stage.Encode},
			[][]line{{failed(fault.MayHaveRun, fault.Crashed)}, okay}, fault.Ran, "", "", 2},
		{"request with refusals only is not run", []stage.Kind{stage.Encode},
			[][]line{{failed(fault.NotRun, fault.Overloaded)}, {failed(fault.NotRun, fault.Overloaded)}, {failed(fault.NotRun, fault.Overloaded)}},
			fault.NotRun, fault.Overloaded, "", 3},
		{"refusal behind a stage that ran", []stage.Kind{stage.Encode, stage.Rerank},
			[][]line{okay, {failed(fault.NotRun, fault.TooLate)}, {failed(fault.NotRun, fault.TooLate)}, {failed(fault.NotRun, fault.TooLate)}},
			fault.MayHaveRun, fault.TooLate, "", 4},
		{"unknown verdict may have run", []stage.Kind{stage.Service},
			[][]line{{failed("perhaps", fault.Upstream)}, okay}, fault.MayHaveRun, fault.Upstream, fault.MayHaveRun, 1},
		{"refused action is retried on another upstream", []stage.Kind{stage.Service},
			[][]line{{failed(fault.NotRun, fault.Draining)}, okay}, fault.Ran, "", "", 2},
		{"dispatched action is never sent again", []stage.Kind{stage.Service},
			[][]line{{failed(fault.MayHaveRun, fault.Crashed)}, okay}, fault.MayHaveRun, fault.Crashed, fault.MayHaveRun, 1},
		{"action refused behind a stage that ran", []stage.Kind{stage.Encode, stage.Service},
			[][]line{okay, {failed(fault.NotRun, fault.KeyReused)}, {failed(fault.NotRun, fault.KeyReused)}, {failed(fault.NotRun, fault.KeyReused)}},
			fault.MayHaveRun, fault.KeyReused, fault.NotRun, 4},
		{"cut stream", []stage.Kind{stage.Encode},
			[][]line{{chunk(0, `"x"`)}, okay}, fault.Ran, "", "", 2},
		{"altered answer", []stage.Kind{stage.Encode},
			[][]line{{chunk(0, `"y"`), whole(`"x"`)}, okay}, fault.Ran, "", "", 2},
		{"result that is not JSON", []stage.Kind{stage.Encode},
			[][]line{{chunk(0, `{"x`), whole(`{"x`)}, okay}, fault.Ran, "", "", 2},
		{"whole answer without a result", []stage.Kind{stage.Encode},
			[][]line{{whole()}, okay}, fault.Ran, "", "", 2},
		{"malformed result of an action", []stage.Kind{stage.Service},
			[][]line{{chunk(0, `{"x`), whole(`{"x`)}, okay}, fault.Ran, fault.Malformed, fault.Ran, 2},
		{"foreign frame dropped", []stage.Kind{stage.Encode},
			[][]line{{foreign(), chunk(0, `"x"`), whole(`"x"`)}}, fault.Ran, "", "", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(tc.scripts...)
				ans, fail := f.run(t.Context(), request(tc.stages...), nil)
				synctest.Wait()
				c.Check(f.router.next, qt.Equals, tc.calls)
				c.Check(f.router.reports, qt.HasLen, tc.calls)
				if tc.code == "" {
					c.Assert(fail, qt.IsNil)
					c.Check(string(ans.Chunks[0]), qt.Equals, `"x"`)
					return
				}
				c.Assert(fail, qt.IsNotNil)
				c.Check(fail.Verdict, qt.Equals, tc.want)
				c.Check(fail.Code, qt.Equals, tc.code)
				c.Check(fail.Action, qt.Equals, tc.action)
			})
		})
	}
}

// TestDrainingRefusalsAreFreeRetries checks that retries after a refusal by a draining upstream do not count as retries
// of the request, over all its stages.
func TestDrainingRefusalsAreFreeRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		draining := []line{failed(fault.NotRun, fault.Draining)}
		f := newFixture(draining, okay, draining, okay, draining, okay)
		f.policy.attempts = 1
		f.policy.freeRetries = 2
		_, fail := f.run(t.Context(), request(stage.Encode, stage.Retrieve, stage.Rerank), nil)
		c.Check(fail, qt.IsNil)
		c.Check(f.router.next, qt.Equals, 6)
	})
}

// TestResume checks that a stream resumes on another upstream with no token repeated or missing.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(
			[]line{chunk(0, "a"), chunk(1, "b"), failed(fault.MayHaveRun, fault.Crashed)},
			[]line{chunk(2, "c"), whole("a", "b", "c")})
		s := &sink{}
		ans, fail := f.run(t.Context(), request(stage.Generate), s)
		c.Assert(fail, qt.IsNil)
		c.Check(s.tokens, qt.DeepEquals, []string{"a", "b", "c"})
		c.Check(f.router.sides[1].calls[0].GetHeld(), qt.DeepEquals, []string{"a", "b"})
		c.Check(ans.Chunks, qt.HasLen, 3)
	})
}

// TestResumeAtTheSameVersion checks that a stream whose tokens the caller has seen resumes only at the version of the
// weights that made them, and that a generation which nobody has seen starts over at another one.
func TestResumeAtTheSameVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string
		streamed bool
		tokens   []string // of the answer; nil if there is none
		held     int      // tokens that the last attempt was given
	}{
		{"the version is there", []string{"1", "2", "1"}, true, []string{"a", "b"}, 1},
		{"the version is gone", []string{"1", "2", "2"}, true, nil, 0},
		{"the version is gone, and no token was streamed", []string{"1", "2", "2"}, false, []string{"x", "b"}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(
					[]line{chunk(0, "a"), failed(fault.MayHaveRun, fault.Crashed)},
					[]line{chunk(0, "x"), chunk(1, "b"), whole("x", "b")},
					[]line{chunk(1, "b"), whole("a", "b")})
				f.router.versions = test.versions
				var s exec.Sink
				if test.streamed {
					s = &sink{}
				}
				ans, fail := f.run(t.Context(), request(stage.Generate), s)
				c.Check(fail == nil, qt.Equals, test.tokens != nil)
				var tokens []string
				for _, chunk := range ans.Chunks {
					tokens = append(tokens, string(chunk))
				}
				c.Check(tokens, qt.DeepEquals, test.tokens)
				last := f.router.sides[min(f.router.next, len(f.router.sides))-1]
				if test.tokens != nil {
					c.Check(last.calls[0].GetHeld(), qt.HasLen, test.held)
				}
			})
		})
	}
}

// TestNoResume checks that a stream from an engine which can't resume ends with an error and does not start over.
func TestNoResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{chunk(0, "a"), failed(fault.MayHaveRun, fault.Crashed)}, []line{chunk(0, "a"), whole("a")})
		r := request(stage.Generate)
		r.Stages[0].Pool = "plain"
		s := &sink{}
		_, fail := f.run(t.Context(), r, s)
		c.Assert(fail, qt.IsNotNil)
		c.Check(fail.Verdict, qt.Equals, fault.MayHaveRun)
		c.Check(s.tokens, qt.DeepEquals, []string{"a"})
		c.Check(f.router.next, qt.Equals, 1)
	})
}

// TestNoResumeCollected checks that the same engine starts over if no token was streamed to the caller.
func TestNoResumeCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{chunk(0, "a"), failed(fault.MayHaveRun, fault.Crashed)}, []line{chunk(0, "a"), whole("a")})
		r := request(stage.Generate)
		r.Stages[0].Pool = "plain"
		ans, fail := f.run(t.Context(), r, nil)
		c.Assert(fail, qt.IsNil)
		c.Check(ans.Chunks, qt.HasLen, 1)
		c.Check(f.router.sides[1].calls[0].GetHeld(), qt.HasLen, 0)
	})
}

// TestSilent checks that a silent connection is reported and the request is retried within its deadline.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{{hang: true}}, okay)
		start := time.Now()
		_, fail := f.run(t.Context(), request(stage.Encode), nil)
		synctest.Wait()
		c.Assert(fail, qt.IsNil)
		c.Check(f.router.suspected, qt.DeepEquals, []string{"a"})
		c.Check(time.Since(start) < 3*time.Second, qt.IsTrue)
		c.Check(f.router.sides[0].cancels, qt.Equals, 1)
	})
}

// TestHeartbeats checks that frames without a body keep a slow call alive.
func TestHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		heartbeat := line{after: 1500 * time.Millisecond, frame: &sidepb.CallFrame{}}
		heartbeat2 := line{after: 1500 * time.Millisecond, frame: &sidepb.CallFrame{}}
		f := newFixture([]line{heartbeat, heartbeat2, chunk(0, `"x"`), whole(`"x"`)})
		_, fail := f.run(t.Context(), request(stage.Encode), nil)
		c.Check(fail, qt.IsNil)
		c.Check(f.router.suspected, qt.HasLen, 0)
	})
}

// TestTombstone checks that the verdict of an action whose answer was lost is NotRun only with a confirmed tombstone.
func TestTombstone(t *testing.T) {
	for cancel, want := range map[string]fault.Verdict{"notRun": fault.NotRun, "mayHaveRun": fault.MayHaveRun, "": fault.MayHaveRun} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture([]line{{eof: true}})
			f.policy.attempts = 1
			f.router.sides[0].cancelAs = cancel
			f.router.sides[0].outcome = &sidepb.OutcomeReply{State: "mayHaveRun"}
			_, fail := f.run(t.Context(), request(stage.Service), nil)
			c.Assert(fail, qt.IsNotNil)
			c.Check(fail.Verdict, qt.Equals, want)
			c.Check(fail.Action, qt.Equals, want)
			c.Check(f.router.sides[0].calls, qt.HasLen, 1)
		})
	}
}

// TestOutcomeFound checks that the caller gets the recorded answer of an action whose own answer was lost.
func TestOutcomeFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{{eof: true}}, okay)
		f.router.sides[1].outcome = &sidepb.OutcomeReply{State: "done", Answer: []byte(`"paid"`)}
		ans, fail := f.run(t.Context(), request(stage.Service), nil)
		c.Assert(fail, qt.IsNil)
		c.Check(string(ans.Chunks[0]), qt.Equals, `"paid"`)
		c.Check(ans.Replayed, qt.IsTrue)
		c.Check(f.router.sides[1].calls, qt.HasLen, 0)
	})
}

// TestOutcomeWithoutAnswer checks that an action whose answer was not recorded ends with an error and no empty answer.
func TestOutcomeWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{{eof: true}}, okay)
		f.router.sides[1].outcome = &sidepb.OutcomeReply{State: "done", Verdict: "ran"}
		_, fail := f.run(t.Context(), request(stage.Service), nil)
		c.Assert(fail, qt.IsNotNil)
		c.Check(fail.Verdict, qt.Equals, fault.Ran)
		c.Check(fail.Code, qt.Equals, fault.Incomplete)
	})
}

// TestDeadline checks that the request fails at its deadline and the attempt is canceled.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		heartbeats := make([]line, 40)
		for i := range heartbeats {
			heartbeats[i] = line{after: time.Second, frame: &sidepb.CallFrame{}}
		}
		f := newFixture(heartbeats)
		start := time.Now()
		_, fail := f.run(t.Context(), request(stage.Encode), nil)
		took := time.Since(start)
		synctest.Wait()
		c.Assert(fail, qt.IsNotNil)
		c.Check(fail.Code, qt.Equals, fault.Deadline)
		c.Check(fail.Verdict, qt.Equals, fault.MayHaveRun)
		c.Check(took, qt.Equals, 10*time.Second)
		c.Check(f.router.sides[0].cancels, qt.Equals, 1)
	})
}

// TestCallerDisconnects checks that the attempt is canceled within a second after the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{{hang: true}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		_, fail := f.run(ctx, request(stage.Encode), nil)
		synctest.Wait()
		c.Assert(fail, qt.IsNotNil)
		c.Check(fail.Code, qt.Equals, fault.Canceled)
		c.Check(f.router.sides[0].cancels, qt.Equals, 1)
		c.Check(time.Since(start) < time.Second, qt.IsTrue)
	})
}

// TestHedge checks that the faster of two attempts wins and the other is canceled and counted as wasted.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := []line{{after: time.Second, frame: &sidepb.CallFrame{}}, {after: time.Second, frame: &sidepb.CallFrame{}}, chunk(0, `"x"`), whole(`"x"`)}
		f := newFixture(slow, okay)
		f.policy.hedge = 50 * time.Millisecond
		start := time.Now()
		_, fail := f.run(t.Context(), request(stage.Encode), nil)
		took := time.Since(start)
		synctest.Wait()
		c.Assert(fail, qt.IsNil)
		c.Check(took, qt.Equals, 50*time.Millisecond)
		c.Check(f.router.sides[0].cancels, qt.Equals, 1)
		c.Assert(f.watcher.costs, qt.HasLen, 2)
		c.Check(f.watcher.costs[0].Hedge, qt.IsTrue)
		c.Check(f.watcher.costs[1].Wasted, qt.IsTrue)
	})
}

// TestNoHedgeOfActions checks that an action is never in flight twice.
func TestNoHedgeOfActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := []line{{after: time.Second, frame: &sidepb.CallFrame{}}, chunk(0, `"x"`), whole(`"x"`)}
		f := newFixture(slow, okay)
		f.policy.hedge = 50 * time.Millisecond
		_, fail := f.run(t.Context(), request(stage.Service), nil)
		c.Check(fail, qt.IsNil)
		c.Check(f.router.next, qt.Equals, 1)
	})
}

// crashed is a step that reports the crash of the upstream with an ID.
func crashed(id string) line {
	l := failed(fault.MayHaveRun, fault.Crashed)
	l.frame.GetFailure().Crashed = true
	l.frame.GetFailure().Crash = id
	return l
}

// TestQuarantineAfterTwoCrashes checks that a request which crashed two upstreams is not sent to a third, and ran alone
// on the second.
func TestQuarantineAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{crashed("a")}, []line{crashed("b")}, okay)
		_, fail := f.run(t.Context(), request(stage.Encode), nil)
		c.Assert(fail, qt.IsNotNil)
		c.Check(fail.Code, qt.Equals, fault.Quarantined)
		c.Check(fail.Verdict, qt.Equals, fault.MayHaveRun)
		c.Check(f.router.sides[0].calls[0].GetAlone(), qt.IsFalse)
		c.Check(f.router.sides[1].calls[0].GetAlone(), qt.IsTrue)
		c.Check(f.router.sides[2].calls, qt.HasLen, 0)
	})
}

// TestSuspectIsCleared checks that a request which was in flight during a crash is retried alone and is cleared when it
// succeeds.
func TestSuspectIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture([]line{crashed("a")}, okay)
		r := request(stage.Encode)
		r.Fingerprint = "fp"
		_, fail := f.run(t.Context(), r, nil)
		c.Assert(fail, qt.IsNil)
		c.Check(f.router.sides[1].calls[0].GetAlone(), qt.IsTrue)
		c.Check(f.watcher.cleared, qt.DeepEquals, []string{"fp"})
	})
}
