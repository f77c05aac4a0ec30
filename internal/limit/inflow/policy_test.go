package inflow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/inflow"
)

var (
	start = time.Unix(1000, 0)
	long  = inflow.Request{Route: "long", Rank: 1, Tokens: 9000, Target: time.Second, Left: time.Second, Gap: 300 * time.Millisecond}
	chat  = inflow.Request{Route: "chat", Rank: 2, Tokens: 700, Target: 2 * time.Second, Left: 2 * time.Second}
)

func policy(requests ...inflow.Request) *inflow.Policy {
	p := inflow.New(func() float64 { return 0.5 })
	for _, r := range requests {
		p.Observe(r, start)
	}
	return p
}

// Pools whose routes do not compete with different ranks or lengths are served as before.
func TestThePolicyIsOffWhereNothingCallsForIt(t *testing.T) {
	c := qt.New(t)
	sameRank, noGap := long, long
	sameRank.Rank, noGap.Rank, noGap.Gap = chat.Rank, chat.Rank, 0
	similar := sameRank
	similar.Route, similar.Tokens = "similar", 6000
	c.Check(policy().Active(start), qt.IsFalse)
	c.Check(policy(long, long).Active(start), qt.IsFalse, qt.Commentf("one route"))
	c.Check(policy(sameRank, similar).Active(start), qt.IsFalse, qt.Commentf("prompts of similar length"))
	c.Check(policy(noGap, chat).Active(start), qt.IsFalse, qt.Commentf("no bound on pauses"))
	c.Check(policy(sameRank, chat).Active(start), qt.IsTrue)
	c.Check(policy(long, chat).Active(start), qt.IsTrue)
	urgentTeam := chat
	urgentTeam.Rank = 0
	c.Check(policy(chat, urgentTeam, chat).Active(start), qt.IsTrue, qt.Commentf("a team with a rank of its own"))
	c.Check(policy(chat, urgentTeam, chat).BoundOf(chat).Ahead, qt.Equals, 900*time.Millisecond)
	c.Check(policy(noGap, long, chat).Active(start.Add(2*time.Minute)), qt.IsFalse, qt.Commentf("no requests of late"))
}

// A burst of a less urgent route must leave time for the more urgent ones, and late requests for those in time.
func TestMoreUrgentRequestsMayFindALongerBacklog(t *testing.T) {
	c := qt.New(t)
	p := policy(long, chat)
	late, staged := long, chat
	late.Left, staged.Staged = 0, true
	c.Check(p.BoundOf(long).Ahead, qt.Equals, 850*time.Millisecond)
	c.Check(p.BoundOf(chat), qt.Equals, inflow.Bound{
		Ahead: 450 * time.Millisecond, Total: 1700 * time.Millisecond, Late: 250 * time.Millisecond, Memory: 0.9})
	c.Check(p.BoundOf(late), qt.Equals, inflow.Bound{Late: 250 * time.Millisecond, Memory: 0.9})
	c.Check(p.BoundOf(staged).Late, qt.Equals, 450*time.Millisecond)
	c.Check(p.BoundOf(staged).Ahead, qt.Equals, 1700*time.Millisecond, qt.Commentf("its stages would be lost"))
}

// A route that yields to more urgent ones for long gets its floor, and no more.
func TestNoRouteStarves(t *testing.T) {
	c := qt.New(t)
	const rate = 500.0 // tokens per ms; the floor is 25, which is 35.7 chats a second
	p := policy(long, chat)
	taken := 0
	for i := range 10_000 {
		if p.TakeFloor(chat, chat.Tokens, rate, start.Add(time.Duration(i)*time.Millisecond)) {
			taken++
		}
	}
	c.Check(taken > 340 && taken < 360, qt.IsTrue, qt.Commentf("%d", taken))
}

func TestRetriesAreSpreadAndGoByRank(t *testing.T) {
	c := qt.New(t)
	p := policy(long, chat)
	c.Check(p.Refuse(long, start), qt.Equals, 1250*time.Millisecond)
	c.Check(p.Refuse(chat, start.Add(2*time.Second)), qt.Equals, 2750*time.Millisecond, qt.Commentf("overload of 2 s"))
	c.Check(p.Refuse(long, start.Add(time.Minute)), qt.Equals, 1250*time.Millisecond, qt.Commentf("another overload"))
}
