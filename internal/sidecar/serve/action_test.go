package serve

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// cluster is a set of sides of one service that share an action log.
type cluster struct {
	t     *testing.T
	log   *memlog.Log
	sides []*testSide
	calls int
}

// newCluster starts a cluster of n sides, whose workers follow plan.
func newCluster(t *testing.T, n int, plan func(upstream.Call) worker.Plan) *cluster {
	c := &cluster{t: t, log: memlog.New()}
	for range n {
		c.add(plan)
	}
	return c
}

// add starts one more side.
func (c *cluster) add(plan func(upstream.Call) worker.Plan) *testSide {
	side := newTestSide(c.t, Options{
		Log:         c.log,
		Name:        fmt.Sprint("u", len(c.sides)),
		Pool:        pool.Spec{Name: "orders", Kind: pool.Service, SilentMs: 2000},
		Incarnation: fmt.Sprint("i", len(c.sides)),
	}, plan)
	c.sides = append(c.sides, side)
	return side
}

// action returns the call of a new request for an action.
func (c *cluster) action(key, body string) *sidepb.CallRequest {
	c.calls++
	req := request(fmt.Sprint("a", c.calls), "service")
	req.Repeatable = false
	req.Body = []byte(body)
	req.Action = &sidepb.Action{Key: key, Service: "orders", BodyDigest: ident.BodyDigest(req.Body)}
	return req
}

// runs returns how often the workers of all sides ran a call.
func (c *cluster) runs() int {
	n := 0
	for _, s := range c.sides {
		n += len(s.worker.Runs())
	}
	return n
}

// outcome asks one side for the outcome of an action.
func (c *cluster) outcome(side int, key string) *sidepb.OutcomeReply {
	out, err := c.sides[side].server.Outcome(c.t.Context(),
		&sidepb.OutcomeRequest{Team: "team", Service: "orders", Key: key})
	qt.Assert(c.t, err, qt.IsNil)
	return out
}

// newKey mints a key with the clock of the synctest bubble; the times of uuid.NewV7 only grow, also from one bubble to
// the next.
func newKey() string { return keyAt(time.Now()) }

// keyAt returns a key that was minted at the given time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// testCluster runs f in virtual time with n sides.
func testCluster(t *testing.T, n int, plan func(upstream.Call) worker.Plan, f func(c *qt.C, service *cluster)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t), newCluster(t, n, plan)) })
}

func TestResendGetsRecordedAnswer(t *testing.T) {
	testCluster(t, 2, nil, func(c *qt.C, service *cluster) {
		key := newKey()
		first := service.sides[0].call(service.action(key, `"x"`))
		c.Assert(first.whole, qt.IsNotNil)
		c.Assert(first.whole.Replayed, qt.IsFalse)
		time.Sleep(time.Second)
		again := service.sides[1].call(service.action(key, `"x"`))
		c.Assert(again.whole, qt.IsNotNil)
		c.Assert(again.whole.Replayed, qt.IsTrue)
		c.Assert(again.chunks, qt.DeepEquals, first.chunks)
		c.Assert(again.whole.Digest, qt.Equals, first.whole.Digest)
		c.Assert(service.runs(), qt.Equals, 1)
		c.Assert(service.outcome(1, key).State, qt.Equals, "done")
		c.Assert(service.outcome(1, key).Answer, qt.DeepEquals, first.chunks[0])
	})
}

func TestKeyWithOtherBodyDoesNotRun(t *testing.T) {
	testCluster(t, 2, nil, func(c *qt.C, service *cluster) {
		key := newKey()
		service.sides[0].call(service.action(key, `"x"`))
		got := service.sides[1].call(service.action(key, `"y"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "keyReused")
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestSameKeyOfTwoTeamsIsTwoActions(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		key := newKey()
		service.sides[0].call(service.action(key, `"x"`))
		req := service.action(key, `"y"`)
		req.Team = "other"
		c.Assert(service.sides[0].call(req).whole, qt.IsNotNil)
		c.Assert(service.runs(), qt.Equals, 2)
	})
}

func TestResendsAtTheSameTimeRunOnce(t *testing.T) {
	testCluster(t, 4, slow(300*time.Millisecond), func(c *qt.C, service *cluster) {
		key := newKey()
		all := make(chan callResult)
		for _, side := range service.sides {
			req := service.action(key, `"x"`)
			go func() { all <- side.call(req) }()
		}
		whole := 0
		for range service.sides {
			g := <-all
			if g.whole != nil {
				whole++
				continue
			}
			c.Check(g.failure.GetVerdict(), qt.Equals, "mayHaveRun")
			c.Check(g.failure.GetCode(), qt.Equals, "inProgress")
		}
		c.Assert(whole, qt.Equals, 1)
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestActionWaitsForLogInShortOutage(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		time.Sleep(time.Second)
		service.log.SetDown(true)
		time.AfterFunc(3*time.Second, func() { service.log.SetDown(false) })
		c.Assert(service.sides[0].call(service.action(newKey(), `"x"`)).whole, qt.IsNotNil)
	})
}

func TestActionInLogOutageIsNotRunAndOtherCallsAre(t *testing.T) {
	testCluster(t, 1, slow(time.Second), func(c *qt.C, service *cluster) {
		side := service.sides[0]
		time.Sleep(time.Second)
		service.log.SetDown(true)
		time.Sleep(5 * time.Second)
		action := make(chan callResult)
		key := newKey()
		first := service.action(key, `"x"`)
		go func() { action <- side.call(first) }()
		limit := int(side.server.load().Limit)
		for range limit {
			req := service.action(newKey(), `"x"`)
			go side.call(req)
		}
		synctest.Wait()
		c.Assert(side.server.load().Running, qt.Equals, uint32(0))
		c.Assert(side.call(request("r1", "service")).whole, qt.IsNotNil)
		f := (<-action).failure
		c.Assert(f.GetVerdict(), qt.Equals, "notRun")
		c.Assert(f.GetCode(), qt.Equals, "logDown")
		service.log.SetDown(false)
		time.Sleep(10 * time.Second)
		c.Assert(service.runs(), qt.Equals, 1)
		c.Assert(service.sides[0].call(service.action(key, `"x"`)).whole, qt.IsNotNil)
	})
}

func TestClaimWithLostAppendReplyIsFoundByReading(t *testing.T) {
	testCluster(t, 2, nil, func(c *qt.C, service *cluster) {
		time.Sleep(time.Second)
		service.log.LoseAnswers(1)
		c.Assert(service.sides[0].call(service.action(newKey(), `"x"`)).whole, qt.IsNotNil)
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestClaimAppendedAfterItsReleaseIsVoid(t *testing.T) {
	testCluster(t, 2, nil, func(c *qt.C, service *cluster) {
		time.Sleep(time.Second)
		key := newKey()
		service.log.HoldAppends(1)
		req := service.action(key, `"x"`)
		req.RemainingMs = 400
		service.log.FailReads(100)
		c.Assert(service.sides[0].call(req).failure.GetVerdict(), qt.Equals, "notRun")
		service.log.FailReads(0)
		time.Sleep(5 * time.Second)
		c.Assert(service.outcome(1, key).State, qt.Equals, "released")
		c.Assert(service.log.Release(), qt.Equals, 1)
		c.Assert(service.outcome(1, key).State, qt.Equals, "released")
		c.Assert(service.sides[1].call(service.action(key, `"x"`)).whole, qt.IsNotNil)
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestClaimOfCrashedSideIsNotRunAgainAndCanBeSettled(t *testing.T) {
	testCluster(t, 2, slow(time.Second), func(c *qt.C, service *cluster) {
		key := newKey()
		dead := make(chan callResult)
		go func() { dead <- service.sides[0].call(service.action(key, `"x"`)) }()
		time.Sleep(500 * time.Millisecond)
		service.log.SetDown(true) // so that the side dies before it can record the outcome
		service.sides[0].node.Kill()
		c.Assert((<-dead).err, qt.IsNotNil)
		time.Sleep(5 * time.Second)
		service.sides[0].stop()
		service.log.SetDown(false)
		got := service.sides[1].call(service.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "inProgress")
		settle := &sidepb.SettleRequest{
			Team: "team", Service: "orders", Key: key, Verdict: "ran", Author: "ana", Reason: "seen in treasury's books",
		}
		_, err := service.sides[1].server.Settle(c.Context(), settle)
		c.Assert(err, qt.ErrorMatches, ".*not in doubt: claimed")
		time.Sleep(time.Minute + timing.ClockSkew)
		c.Assert(service.outcome(1, key).State, qt.Equals, "mayHaveRun")
		out, err := service.sides[1].server.Settle(c.Context(), settle)
		c.Assert(err, qt.IsNil)
		c.Assert(out.State, qt.Equals, "settled")
		c.Assert(out.Author, qt.Equals, "ana")
		c.Assert(service.sides[1].call(service.action(key, `"x"`)).failure.GetVerdict(), qt.Equals, "ran")
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestKeysOutsideActionWindow(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		old := service.sides[0].call(service.action(keyAt(time.Now().Add(-timing.ActionWindow-time.Minute)), `"x"`))
		c.Assert(old.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(old.failure.GetCode(), qt.Equals, "keyExpired")
		future := service.sides[0].call(service.action(keyAt(time.Now().Add(timing.ClockSkew+time.Minute)), `"x"`))
		c.Assert(future.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(future.failure.GetCode(), qt.Equals, "badRequest")
		c.Assert(service.runs(), qt.Equals, 0)
	})
}

func TestNewSideRefusesKeysOlderThanRetainedLog(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		key := newKey()
		c.Assert(service.sides[0].call(service.action(key, `"x"`)).whole, qt.IsNotNil)
		time.Sleep(time.Hour)
		c.Assert(service.sides[0].call(service.action(newKey(), `"y"`)).whole, qt.IsNotNil)
		time.Sleep(time.Second)
		service.log.Trim("actions.orders", 2)
		late := service.add(nil)
		got := late.call(service.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "keyExpired")
		c.Assert(service.runs(), qt.Equals, 2)
	})
}

func TestActionOutlivesItsCaller(t *testing.T) {
	testCluster(t, 2, slow(time.Second), func(c *qt.C, service *cluster) {
		key := newKey()
		ctx, cancel := context.WithCancel(c.Context())
		stream, err := inmem.New(service.sides[0].node, nil).Call(ctx, service.action(key, `"x"`))
		c.Assert(err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		cancel()
		c.Assert(collect(stream).whole, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(service.sides[1].call(service.action(key, `"x"`)).whole.GetReplayed(), qt.IsTrue)
		c.Assert(service.runs(), qt.Equals, 1)
	})
}

func TestPausedSideDoesNotDispatchAfterItsDeadline(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		var paused atomic.Bool
		now := func() time.Time {
			if paused.Load() {
				// Past the deadline, but within outcomeGrace.
				return time.Now().Add(20 * time.Second)
			}
			return time.Now()
		}
		side := newTestSide(c.TB.(*testing.T), Options{
			Log: service.log, Now: now, Incarnation: "paused",
			Pool: pool.Spec{Name: "orders", Kind: pool.Service},
		}, nil)
		time.Sleep(time.Second)
		service.log.DelayRead(300 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { paused.Store(true) })
		key := newKey()
		got := side.call(service.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(side.worker.Runs(), qt.HasLen, 0)
		time.Sleep(5 * time.Second)
		c.Assert(service.outcome(0, key).State, qt.Equals, "released")
	})
}

func TestDrainWaitsForTheOutcomeRecord(t *testing.T) {
	testCluster(t, 2, nil, func(c *qt.C, service *cluster) {
		key := newKey()
		c.Assert(service.sides[0].call(service.action(key, `"x"`)).whole, qt.IsNotNil)
		_, err := service.sides[0].server.Drain(c.Context(), &sidepb.DrainRequest{Author: "ana", Reason: "noon"})
		c.Assert(err, qt.IsNil)
		<-service.sides[0].server.Drained()
		c.Assert(service.outcome(1, key).State, qt.Equals, "done")
	})
}

func TestGroupCommitBoundsTheRateOfAppends(t *testing.T) {
	testCluster(t, 1, nil, func(c *qt.C, service *cluster) {
		const actions, seconds = 1000, 10
		time.Sleep(time.Second)
		before := service.log.Appends()
		for range actions {
			go service.sides[0].call(service.action(newKey(), `"x"`))
			time.Sleep(seconds * time.Second / actions)
		}
		time.Sleep(time.Second)
		c.Assert(service.runs(), qt.Equals, actions)
		// At ten appends a second for each side, 30 sides make a few hundred.
		c.Assert(service.log.Appends()-before <= 10*(seconds+1), qt.IsTrue,
			qt.Commentf("%d appends", service.log.Appends()-before))
	})
}

func TestCancelOfRefusedResendReturnsMayHaveRun(t *testing.T) {
	testCluster(t, 2, slow(time.Second), func(c *qt.C, service *cluster) {
		key := newKey()
		first := service.action(key, `"x"`)
		go service.sides[0].call(first)
		time.Sleep(500 * time.Millisecond)
		again := service.action(key, `"x"`)
		c.Assert(service.sides[1].call(again).failure.GetVerdict(), qt.Equals, "mayHaveRun")
		again.Id.Incarnation = "i1"
		c.Assert(service.sides[1].cancel(again.Id), qt.Equals, "mayHaveRun")
		time.Sleep(2 * time.Second) // the first call ends
	})
}
