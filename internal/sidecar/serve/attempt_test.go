package serve

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// slow returns a plan by which each call of the upstream takes d.
func slow(d time.Duration) func(upstream.Call) worker.Plan {
	return func(upstream.Call) worker.Plan { return worker.Plan{Delay: d} }
}

// cancel cancels an attempt and returns the verdict.
func (side *testSide) cancel(id *sidepb.Identity) string {
	out, err := side.server.Cancel(side.t.Context(), &sidepb.CancelRequest{Id: id, KeepMs: 11000})
	qt.Assert(side.t, err, qt.IsNil)
	return out.Verdict
}

func identity(id string) *sidepb.Identity {
	return &sidepb.Identity{RequestId: id, Stage: "s", Attempt: 1, Incarnation: "i1"}
}

func TestTombstoneRefusesLateCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, nil)
		c.Assert(side.cancel(identity("r1")), qt.Equals, "notRun")
		got := side.call(request("r1", ""))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "tombstoned")
		c.Assert(side.worker.Runs(), qt.HasLen, 0)
	})
}

func TestCancelWithoutIncarnationReturnsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		side := newTestSide(t, Options{}, nil)
		id := identity("r1")
		id.Incarnation = ""
		qt.Assert(t, side.cancel(id), qt.Equals, "mayHaveRun")
	})
}

func TestCopyOfRunningCallDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, slow(time.Second))
		first := make(chan callResult)
		go func() { first <- side.call(request("r1", "")) }()
		synctest.Wait()
		again := side.call(request("r1", ""))
		c.Assert(again.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(again.failure.GetCode(), qt.Equals, "inProgress")
		c.Assert((<-first).whole, qt.IsNotNil)
		late := side.call(request("r1", ""))
		c.Assert(late.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(side.worker.Runs(), qt.HasLen, 1)
	})
}

func TestCancelStopsWorkWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Pool: pool.Spec{SilentMs: 60000}}, slow(10*time.Second))
		first := make(chan callResult)
		go func() { first <- side.call(request("r1", "")) }()
		synctest.Wait()
		c.Assert(side.worker.Open(), qt.Equals, 1)
		c.Assert(side.cancel(identity("r1")), qt.Equals, "mayHaveRun")
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(side.worker.Open(), qt.Equals, 0)
		c.Assert((<-first).failure.GetCode(), qt.Equals, "canceled")
	})
}

func TestDisconnectedCallerStopsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, slow(4*time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := inmem.New(side.node, nil).Call(ctx, request("r1", ""))
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Assert(side.worker.Open(), qt.Equals, 1)
		cancel()
		synctest.Wait()
		c.Assert(side.worker.Open(), qt.Equals, 0)
		c.Assert(collect(stream).whole, qt.IsNil)
	})
}

func TestQueuedCallIsCanceledAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Gate: gate.New(gate.Options{Ceiling: 1})}, slow(time.Second))
		first, second := make(chan callResult), make(chan callResult)
		go func() { first <- side.call(request("r1", "")) }()
		synctest.Wait()
		go func() { second <- side.call(request("r2", "")) }()
		synctest.Wait()
		c.Assert(side.cancel(identity("r2")), qt.Equals, "notRun")
		c.Assert((<-second).failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert((<-first).whole, qt.IsNotNil)
		c.Assert(side.worker.Runs(), qt.HasLen, 1)
	})
}

func TestCrashCountsAllInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, slow(time.Second))
		all := make(chan callResult)
		for _, id := range []string{"r1", "r2", "r3"} {
			go func() { all <- side.call(request(id, "")) }()
		}
		synctest.Wait()
		side.worker.Crash()
		for range 3 {
			f := (<-all).failure
			c.Assert(f.GetCrashed(), qt.IsTrue)
			c.Assert(f.GetInFlight(), qt.Equals, uint32(3))
		}
		c.Assert(side.server.status().UpstreamHealthy, qt.IsFalse)
		side.worker.Restart()
		time.Sleep(2 * probeInterval)
		synctest.Wait()
		c.Assert(side.server.status().UpstreamHealthy, qt.IsTrue)
	})
}

func TestDrainLetsCallsFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, slow(3*time.Second))
		first := make(chan callResult)
		go func() { first <- side.call(request("r1", "generate")) }()
		synctest.Wait()
		watch, err := inmem.New(side.node, nil).Watch(t.Context(), &sidepb.WatchRequest{})
		c.Assert(err, qt.IsNil)
		st, err := watch.Recv()
		c.Assert(err, qt.IsNil)
		c.Assert(st.State, qt.Equals, "live")
		reply, err := side.server.Drain(t.Context(), &sidepb.DrainRequest{Author: "ana", Reason: "noon"})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.InFlight, qt.Equals, uint32(1))
		st, err = watch.Recv()
		c.Assert(err, qt.IsNil)
		c.Assert(st.State, qt.Equals, "leaving")
		c.Assert(side.call(request("r2", "")).failure.GetCode(), qt.Equals, "draining")
		select {
		case <-side.server.Drained():
			t.Fatal("drained with a call in flight")
		default:
		}
		c.Assert((<-first).whole, qt.IsNotNil)
		<-side.server.Drained()
		for err == nil {
			_, err = watch.Recv()
		}
		c.Assert(err, qt.Equals, io.EOF)
	})
}

func TestLoadReportsExpectedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Gate: gate.New(gate.Options{Ceiling: 1})}, slow(2*time.Second))
		c.Assert(side.server.load().ShortWaitMs, qt.Equals, int64(0))
		done := make(chan callResult)
		go func() { done <- side.call(request("r1", "")) }()
		synctest.Wait()
		c.Assert(side.server.load().ShortWaitMs > 0, qt.IsTrue)
		c.Assert((<-done).whole, qt.IsNotNil)
	})
}

func TestFramesEchoIdentityInSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{}, nil)
		stream, err := inmem.New(side.node, nil).Call(t.Context(), request("r1", "generate"))
		c.Assert(err, qt.IsNil)
		for seq := uint64(0); ; seq++ {
			f, err := stream.Recv()
			if err != nil {
				c.Assert(seq, qt.Equals, uint64(6))
				return
			}
			c.Assert(f.Seq, qt.Equals, seq)
			c.Assert(proto.Equal(f.Id, identity("r1")), qt.IsTrue)
		}
	})
}

// unresponsiveUpstream accepts connections and never answers.
type unresponsiveUpstream struct{ *worker.Worker }

// Call waits until ctx ends.
func (unresponsiveUpstream) Call(ctx context.Context, _ upstream.Call) (upstream.Stream, error) {
	<-ctx.Done()
	return nil, &upstream.Error{Op: "call", Cause: ctx.Err()}
}

func TestUpstreamThatNeverAnswersIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Pool: pool.Spec{SilentMs: 2000}, Upstream: unresponsiveUpstream{worker.New(nil)}}, nil)
		began := time.Now()
		f := side.call(request("r1", "")).failure
		c.Assert(f.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(f.GetCode(), qt.Equals, "silent")
		c.Assert(time.Since(began), qt.Equals, 4*time.Second) // one rerun
		c.Assert(side.server.status().UpstreamHealthy, qt.IsTrue)
	})
}

func TestHeartbeatsWhileNothingElseIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Pool: pool.Spec{SilentMs: 60000}}, slow(10*time.Second))
		stream, err := inmem.New(side.node, nil).Call(t.Context(), request("r1", ""))
		c.Assert(err, qt.IsNil)
		last := time.Now()
		for {
			_, err := stream.Recv()
			if err != nil {
				return
			}
			c.Assert(time.Since(last) < timing.CallSilenceTimeout, qt.IsTrue)
			last = time.Now()
		}
	})
}

// countingUpstream counts the reads from the streams of its calls.
type countingUpstream struct {
	*worker.Worker
	read *atomic.Int64
}

// countingStream counts the calls of Next, including those that return io.EOF or another error.
type countingStream struct {
	upstream.Stream
	read *atomic.Int64
}

// Call returns a stream that counts its reads.
func (u countingUpstream) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	s, err := u.Worker.Call(ctx, c)
	return countingStream{Stream: s, read: u.read}, err
}

// Next counts the read and returns the next event.
func (s countingStream) Next(ctx context.Context) (upstream.Event, error) {
	s.read.Add(1)
	return s.Stream.Next(ctx)
}

func TestSlowCallerSlowsTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const tokens, bound = 1000, 32 // a link holds 16 frames
		w := worker.New(func(upstream.Call) worker.Plan { return worker.Plan{Tokens: tokens} })
		var read atomic.Int64
		side := newTestSide(t, Options{Upstream: countingUpstream{Worker: w, read: &read}}, nil)
		stream, err := inmem.New(side.node, nil).Call(t.Context(), request("r1", "generate"))
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Assert(read.Load() <= bound, qt.IsTrue, qt.Commentf("%d events read ahead", read.Load()))
		got := collect(stream)
		c.Assert(got.whole, qt.IsNotNil)
		c.Assert(got.chunks, qt.HasLen, tokens)
	})
}

func TestLimitFollowsTheTimeBetweenTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limits := gate.New(gate.Options{Floor: 1, Ceiling: 8, Target: 50 * time.Millisecond})
		before := limits.Load().Limit
		side := newTestSide(t, Options{Gate: limits}, func(upstream.Call) worker.Plan {
			return worker.Plan{Step: 20 * time.Millisecond, Tokens: 40}
		})
		for i := range 20 {
			c.Assert(side.call(request(fmt.Sprint(i), "generate")).whole, qt.IsNotNil)
		}
		c.Check(limits.Load().Limit >= before, qt.IsTrue, qt.Commentf("%d after %d", limits.Load().Limit, before))
	})
}

func TestRerunsOfSilentCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		side := newTestSide(t, Options{Pool: pool.Spec{SilentMs: 1000}}, func(upstream.Call) worker.Plan {
			return worker.Plan{Fault: worker.Silent}
		})
		for i := range 60 {
			c.Assert(side.call(request(fmt.Sprint(i), "")).failure, qt.IsNotNil)
		}
		c.Check(side.server.counters.rerunCalls.Load() <= 20, qt.IsTrue,
			qt.Commentf("%d", side.server.counters.rerunCalls.Load()))
		spent := request("spent", "")
		spent.Retries = 3
		before := side.server.counters.rerunCalls.Load()
		side.call(spent)
		c.Check(side.server.counters.rerunCalls.Load(), qt.Equals, before)
	})
}
