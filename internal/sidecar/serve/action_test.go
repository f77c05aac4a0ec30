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
	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// crew is several sides of one service on one log.
type crew struct {
	t     *testing.T
	log   *memlog.Log
	sides []*bench
	calls int
}

func newCrew(t *testing.T, n int, plan func(upstr.Call) worker.Plan) *crew {
	c := &crew{t: t, log: memlog.New()}
	for range n {
		c.add(plan)
	}
	return c
}

func (c *crew) add(plan func(upstr.Call) worker.Plan) *bench {
	b := newBench(c.t, Options{
		Log:         c.log,
		Name:        fmt.Sprint("u", len(c.sides)),
		Pool:        pool.Spec{Name: "orders", Kind: pool.Service, SilentMs: 2000},
		Incarnation: fmt.Sprint("i", len(c.sides)),
	}, plan)
	c.sides = append(c.sides, b)
	return b
}

// action returns a call of a new request that carries an action.
func (c *crew) action(key, body string) *sidepb.CallRequest {
	c.calls++
	req := request(fmt.Sprint("a", c.calls), "service")
	req.Repeatable = false
	req.Body = []byte(body)
	req.Action = &sidepb.Action{Key: key, Service: "orders", BodyDigest: ident.BodyDigest(req.Body)}
	return req
}

func (c *crew) runs() int {
	n := 0
	for _, s := range c.sides {
		n += len(s.worker.Runs())
	}
	return n
}

func (c *crew) outcome(side int, key string) *sidepb.OutcomeReply {
	out, err := c.sides[side].server.Outcome(c.t.Context(), &sidepb.OutcomeRequest{Team: "team", Service: "orders", Key: key})
	qt.Assert(c.t, err, qt.IsNil)
	return out
}

// newKey mints a key by the bubble's clock; uuid.NewV7 never goes back to an earlier bubble's.
func newKey() string { return keyAt(time.Now()) }

func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// testCrew runs f in virtual time.
func testCrew(t *testing.T, n int, plan func(upstr.Call) worker.Plan, f func(c *qt.C, crew *crew)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t), newCrew(t, n, plan)) })
}

func TestResendGetsRecordedAnswer(t *testing.T) {
	testCrew(t, 2, nil, func(c *qt.C, crew *crew) {
		key := newKey()
		first := crew.sides[0].call(crew.action(key, `"x"`))
		c.Assert(first.whole, qt.IsNotNil)
		c.Assert(first.whole.Replayed, qt.IsFalse)
		time.Sleep(time.Second)
		again := crew.sides[1].call(crew.action(key, `"x"`))
		c.Assert(again.whole, qt.IsNotNil)
		c.Assert(again.whole.Replayed, qt.IsTrue)
		c.Assert(again.chunks, qt.DeepEquals, first.chunks)
		c.Assert(again.whole.Digest, qt.Equals, first.whole.Digest)
		c.Assert(crew.runs(), qt.Equals, 1)
		c.Assert(crew.outcome(1, key).State, qt.Equals, "done")
		c.Assert(crew.outcome(1, key).Answer, qt.DeepEquals, first.chunks[0])
	})
}

func TestKeyWithOtherBodyDoesNotRun(t *testing.T) {
	testCrew(t, 2, nil, func(c *qt.C, crew *crew) {
		key := newKey()
		crew.sides[0].call(crew.action(key, `"x"`))
		got := crew.sides[1].call(crew.action(key, `"y"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "keyReused")
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestKeysOfTwoTeamsDoNotMeet(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		key := newKey()
		crew.sides[0].call(crew.action(key, `"x"`))
		req := crew.action(key, `"y"`)
		req.Team = "other"
		c.Assert(crew.sides[0].call(req).whole, qt.IsNotNil)
		c.Assert(crew.runs(), qt.Equals, 2)
	})
}

func TestResendsAtTheSameTimeRunOnce(t *testing.T) {
	testCrew(t, 4, slow(300*time.Millisecond), func(c *qt.C, crew *crew) {
		key := newKey()
		all := make(chan got)
		for _, side := range crew.sides {
			req := crew.action(key, `"x"`)
			go func() { all <- side.call(req) }()
		}
		whole := 0
		for range crew.sides {
			g := <-all
			if g.whole != nil {
				whole++
				continue
			}
			c.Check(g.failure.GetVerdict(), qt.Equals, "mayHaveRun")
			c.Check(g.failure.GetCode(), qt.Equals, "inProgress")
		}
		c.Assert(whole, qt.Equals, 1)
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestActionWaitsOutAShortOutage(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		time.Sleep(time.Second)
		crew.log.SetDown(true)
		time.AfterFunc(3*time.Second, func() { crew.log.SetDown(false) })
		c.Assert(crew.sides[0].call(crew.action(newKey(), `"x"`)).whole, qt.IsNotNil)
	})
}

func TestActionInAnOutageIsNotRunAndOthersGoOn(t *testing.T) {
	testCrew(t, 1, slow(time.Second), func(c *qt.C, crew *crew) {
		side := crew.sides[0]
		time.Sleep(time.Second)
		crew.log.SetDown(true)
		time.Sleep(5 * time.Second)
		action := make(chan got)
		key := newKey()
		first := crew.action(key, `"x"`)
		go func() { action <- side.call(first) }()
		limit := int(side.server.load().Limit)
		for range limit {
			req := crew.action(newKey(), `"x"`)
			go side.call(req)
		}
		synctest.Wait()
		c.Assert(side.server.load().Running, qt.Equals, uint32(0))
		c.Assert(side.call(request("r1", "service")).whole, qt.IsNotNil)
		f := (<-action).failure
		c.Assert(f.GetVerdict(), qt.Equals, "notRun")
		c.Assert(f.GetCode(), qt.Equals, "logDown")
		crew.log.SetDown(false)
		time.Sleep(10 * time.Second)
		c.Assert(crew.runs(), qt.Equals, 1)
		c.Assert(crew.sides[0].call(crew.action(key, `"x"`)).whole, qt.IsNotNil)
	})
}

func TestLostAnswerOfTheClaimIsSettledByReading(t *testing.T) {
	testCrew(t, 2, nil, func(c *qt.C, crew *crew) {
		time.Sleep(time.Second)
		crew.log.LoseAnswers(1)
		c.Assert(crew.sides[0].call(crew.action(newKey(), `"x"`)).whole, qt.IsNotNil)
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestClaimThatArrivesAfterItsReleaseIsDead(t *testing.T) {
	testCrew(t, 2, nil, func(c *qt.C, crew *crew) {
		time.Sleep(time.Second)
		key := newKey()
		crew.log.HoldAppends(1)
		req := crew.action(key, `"x"`)
		req.RemainingMs = 400
		crew.log.FailReads(100)
		c.Assert(crew.sides[0].call(req).failure.GetVerdict(), qt.Equals, "notRun")
		crew.log.FailReads(0)
		time.Sleep(5 * time.Second)
		c.Assert(crew.outcome(1, key).State, qt.Equals, "released")
		c.Assert(crew.log.Release(), qt.Equals, 1)
		c.Assert(crew.outcome(1, key).State, qt.Equals, "released")
		c.Assert(crew.sides[1].call(crew.action(key, `"x"`)).whole, qt.IsNotNil)
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestClaimOfADeadSideIsNeverRunAgainAndCanBeSettled(t *testing.T) {
	testCrew(t, 2, slow(time.Second), func(c *qt.C, crew *crew) {
		key := newKey()
		dead := make(chan got)
		go func() { dead <- crew.sides[0].call(crew.action(key, `"x"`)) }()
		time.Sleep(500 * time.Millisecond)
		crew.log.SetDown(true) // the side dies before it can record the outcome
		crew.sides[0].node.Kill()
		c.Assert((<-dead).err, qt.IsNotNil)
		time.Sleep(5 * time.Second)
		crew.sides[0].stop()
		crew.log.SetDown(false)
		got := crew.sides[1].call(crew.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "inProgress")
		settle := &sidepb.SettleRequest{
			Team: "team", Service: "orders", Key: key, Verdict: "ran", Author: "ana", Reason: "seen in treasury's books",
		}
		_, err := crew.sides[1].server.Settle(c.Context(), settle)
		c.Assert(err, qt.ErrorMatches, ".*not in doubt: claimed")
		time.Sleep(time.Minute + timing.ClockSkew)
		c.Assert(crew.outcome(1, key).State, qt.Equals, "mayHaveRun")
		out, err := crew.sides[1].server.Settle(c.Context(), settle)
		c.Assert(err, qt.IsNil)
		c.Assert(out.State, qt.Equals, "settled")
		c.Assert(out.Author, qt.Equals, "ana")
		c.Assert(crew.sides[1].call(crew.action(key, `"x"`)).failure.GetVerdict(), qt.Equals, "ran")
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestKeysOutOfTheWindow(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		old := crew.sides[0].call(crew.action(keyAt(time.Now().Add(-timing.ActionWindow-time.Minute)), `"x"`))
		c.Assert(old.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(old.failure.GetCode(), qt.Equals, "keyExpired")
		future := crew.sides[0].call(crew.action(keyAt(time.Now().Add(timing.ClockSkew+time.Minute)), `"x"`))
		c.Assert(future.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(future.failure.GetCode(), qt.Equals, "badRequest")
		c.Assert(crew.runs(), qt.Equals, 0)
	})
}

func TestNewSideRefusesKeysOlderThanWhatTheLogKept(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		key := newKey()
		c.Assert(crew.sides[0].call(crew.action(key, `"x"`)).whole, qt.IsNotNil)
		time.Sleep(time.Hour)
		c.Assert(crew.sides[0].call(crew.action(newKey(), `"y"`)).whole, qt.IsNotNil)
		time.Sleep(time.Second)
		crew.log.Trim("actions.orders", 2)
		late := crew.add(nil)
		got := late.call(crew.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "mayHaveRun")
		c.Assert(got.failure.GetCode(), qt.Equals, "keyExpired")
		c.Assert(crew.runs(), qt.Equals, 2)
	})
}

func TestActionOutlivesItsCaller(t *testing.T) {
	testCrew(t, 2, slow(time.Second), func(c *qt.C, crew *crew) {
		key := newKey()
		ctx, cancel := context.WithCancel(c.Context())
		stream, err := inmem.New(crew.sides[0].node, nil).Call(ctx, crew.action(key, `"x"`))
		c.Assert(err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		cancel()
		c.Assert(collect(stream).whole, qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(crew.sides[1].call(crew.action(key, `"x"`)).whole.GetReplayed(), qt.IsTrue)
		c.Assert(crew.runs(), qt.Equals, 1)
	})
}

func TestPausedSideDoesNotDispatchAfterItsDeadline(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		var paused atomic.Bool
		now := func() time.Time {
			if paused.Load() {
				// Past the deadline, but within the time that a dispatched action may take.
				return time.Now().Add(20 * time.Second)
			}
			return time.Now()
		}
		b := newBench(c.TB.(*testing.T), Options{
			Log: crew.log, Now: now, Incarnation: "paused",
			Pool: pool.Spec{Name: "orders", Kind: pool.Service},
		}, nil)
		time.Sleep(time.Second)
		crew.log.DelayRead(300 * time.Millisecond)
		time.AfterFunc(200*time.Millisecond, func() { paused.Store(true) })
		key := newKey()
		got := b.call(crew.action(key, `"x"`))
		c.Assert(got.failure.GetVerdict(), qt.Equals, "notRun")
		c.Assert(b.worker.Runs(), qt.HasLen, 0)
		time.Sleep(5 * time.Second)
		c.Assert(crew.outcome(0, key).State, qt.Equals, "released")
	})
}

func TestDrainWaitsForTheOutcomeRecord(t *testing.T) {
	testCrew(t, 2, nil, func(c *qt.C, crew *crew) {
		key := newKey()
		c.Assert(crew.sides[0].call(crew.action(key, `"x"`)).whole, qt.IsNotNil)
		_, err := crew.sides[0].server.Drain(c.Context(), &sidepb.DrainRequest{Author: "ana", Reason: "noon"})
		c.Assert(err, qt.IsNil)
		<-crew.sides[0].server.Drained()
		c.Assert(crew.outcome(1, key).State, qt.Equals, "done")
	})
}

func TestGroupCommitBoundsTheRateOfAppends(t *testing.T) {
	testCrew(t, 1, nil, func(c *qt.C, crew *crew) {
		const actions, seconds = 1000, 10
		time.Sleep(time.Second)
		before := crew.log.Appends()
		for range actions {
			go crew.sides[0].call(crew.action(newKey(), `"x"`))
			time.Sleep(seconds * time.Second / actions)
		}
		time.Sleep(time.Second)
		c.Assert(crew.runs(), qt.Equals, actions)
		// 30 sides at ten appends a second stay within several hundred.
		c.Assert(crew.log.Appends()-before <= 10*(seconds+1), qt.IsTrue, qt.Commentf("%d appends", crew.log.Appends()-before))
	})
}

func TestCancelOfARefusedResendPromisesNothing(t *testing.T) {
	testCrew(t, 2, slow(time.Second), func(c *qt.C, crew *crew) {
		key := newKey()
		first := crew.action(key, `"x"`)
		go crew.sides[0].call(first)
		time.Sleep(500 * time.Millisecond)
		again := crew.action(key, `"x"`)
		c.Assert(crew.sides[1].call(again).failure.GetVerdict(), qt.Equals, "mayHaveRun")
		again.Id.Incarnation = "i1"
		c.Assert(crew.sides[1].cancel(again.Id), qt.Equals, "mayHaveRun")
		time.Sleep(2 * time.Second) // the first ends
	})
}
