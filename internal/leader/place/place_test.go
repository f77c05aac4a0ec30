package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
)

var (
	start = time.Unix(1000, 0)
	spec  = rule.Engine{Slots: 64, Tokens: 400_000}
)

// engines returns a table of six engines in three zones.
func engines() *hosts.Table {
	var all []hosts.Upstream
	for i := range 6 {
		all = append(all, hosts.Upstream{
			ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3), State: hosts.Ready})
	}
	return hosts.New(all, start)
}

// order returns an order whose prompt begins with a block that all sessions share and one of its session.
func order(id, session string, prompt int) place.Order {
	return place.Order{
		ID: id, Pool: "p", Zone: "z0", Model: "m", PromptTokens: prompt, OutputLimit: 50,
		Prefix: []call.PrefixBlock{{ID: "shared", Tokens: 2500}, {ID: session, Tokens: 3800}},
	}
}

func TestSessionsReturnToTheEngineThatHasTheirPrefix(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	first, ok := p.Pick(order("1", "s", 9000), engines(), spec, start)
	c.Assert(ok, qt.IsTrue)
	p.FirstByte("1", start.Add(200*time.Millisecond))
	p.Ended("1")
	for i := range 5 {
		id := fmt.Sprintf("other-%d", i)
		_, _ = p.Pick(order(id, id, 9000), engines(), spec, start.Add(time.Second))
		p.FirstByte(id, start.Add(time.Second))
		p.Ended(id)
	}
	again, _ := p.Pick(order("2", "s", 9000), engines(), spec, start.Add(2*time.Second))
	c.Check(again.ID, qt.Equals, first.ID)
}

func TestPreferredZoneFollowsTheCachedPrompt(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	c.Check(p.PreferredZone(order("1", "s", 9000), engines(), spec, start), qt.Equals, "",
		qt.Commentf("no engine has cached the prompt"))
	first, ok := p.Pick(order("1", "s", 9000), engines(), spec, start)
	c.Assert(ok, qt.IsTrue)
	p.FirstByte("1", start.Add(200*time.Millisecond))
	p.Ended("1")
	c.Check(p.PreferredZone(order("2", "s", 9000), engines(), spec, start.Add(time.Second)), qt.Equals, first.Zone)
	o := order("3", "s", 300)
	o.Prefix = []call.PrefixBlock{{ID: "short", Tokens: 250}}
	c.Check(p.PreferredZone(o, engines(), spec, start.Add(time.Second)), qt.Equals, "",
		qt.Commentf("every engine reads it quickly"))
}

func TestLoadOutweighsThePrefix(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	used := map[string]int{}
	for i := range 30 {
		u, _ := p.Pick(order(fmt.Sprint(i), "s", 9000), engines(), spec, start)
		used[u.ID]++
	}
	c.Check(len(used), qt.Equals, 6, qt.Commentf("%v", used))
}

func TestRequestsGoWhereTheirResultsAre(t *testing.T) {
	c := qt.New(t)
	o := order("1", "s", 500)
	o.ByZone = map[string]int64{"z2": 4_000_000}
	u, _ := place.New(noLimits(), noBudget()).Pick(o, engines(), spec, start)
	c.Check(u.Zone, qt.Equals, "z2")
}

func TestFailingEnginesAreEjected(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	first, _ := p.Pick(order("1", "s", 9000), engines(), spec, start)
	p.EngineFailed(first, "", start)
	c.Check(p.EngineFailed(first, "", start) > 0, qt.IsTrue)
	u, _ := p.Pick(order("2", "s", 9000), engines(), spec, start)
	c.Check(u.ID, qt.Not(qt.Equals), first.ID)
}

// An engine that fails every second request is never ejected, because only consecutive failures eject. Its failure rate
// has to keep requests away.
func TestPartlyFailingEnginesGetFewRequests(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	now, sent := start, map[string]int{}
	for i := range 120 {
		now = now.Add(100 * time.Millisecond)
		o := order(fmt.Sprint(i), fmt.Sprint(i), 300)
		o.Prefix = nil
		u, _ := p.Pick(o, engines(), spec, now)
		sent[u.ID]++
		if u.ID == "e0" && sent["e0"]%2 == 0 {
			p.EngineFailed(u, "", now)
		} else {
			p.FirstByte(o.ID, now.Add(20*time.Millisecond))
		}
		p.Ended(o.ID)
	}
	c.Check(sent["e0"] < 120/6/2, qt.IsTrue, qt.Commentf("%v", sent))
	c.Check(sent["e0"] > 2, qt.IsTrue, qt.Commentf("it is tried again: %v", sent))
}

// restarted returns a table of two engines, the first of which started at born.
func restarted(born int64) *hosts.Table {
	return hosts.New([]hosts.Upstream{
		{ID: "old", Pool: "p", Zone: "z0", State: hosts.Ready, StartedMs: born},
		{ID: "other", Pool: "p", Zone: "z0", State: hosts.Ready, StartedMs: 1},
	}, start)
}

// The restart may be in the first list that a new leader reads after it has picked the engine.
func TestRestartedEnginesHaveEmptyCaches(t *testing.T) {
	for _, lists := range []int{0, 1} {
		c := qt.New(t)
		p := place.New(noLimits(), noBudget())
		first, _ := p.Pick(order("1", "s", 9000), restarted(1), spec, start)
		c.Assert(first.ID, qt.Equals, "old")
		for range lists {
			p.SetUpstreams(restarted(1))
		}
		p.FirstByte("1", start)
		p.Ended("1")
		p.SetUpstreams(restarted(2))
		small := order("2", "", 100)
		small.Prefix = nil
		_, _ = p.Pick(small, restarted(2), spec, start)
		again, _ := p.Pick(order("3", "s", 9000), restarted(2), spec, start)
		c.Check(again.ID, qt.Equals, "other", qt.Commentf("the prompt is cached nowhere, and old is busy; %d lists", lists))
	}
}

// A crash fails the requests of a lifetime, which may be reported after the engine has restarted.
func TestRestartedEnginesAreNotEjectedForRequestsBefore(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	var requests []string
	for i := range 6 {
		requests = append(requests, fmt.Sprint(i))
		_, _ = p.Pick(order(requests[i], requests[i], 300), restarted(1), spec, start)
	}
	p.SetUpstreams(restarted(2))
	old := restarted(2).Ready("p")[0]
	for _, id := range requests {
		c.Check(p.EngineFailed(old, id, start), qt.Equals, time.Duration(0))
		p.Ended(id)
	}
}

func TestExcludedEnginesAreAvoided(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	o := order("1", "s", 9000)
	first, _ := p.Pick(o, engines(), spec, start)
	o.Exclude = []string{first.ID}
	u, _ := p.Pick(o, engines(), spec, start)
	c.Check(u.ID, qt.Not(qt.Equals), first.ID)
	loads := p.Loads()
	running := 0
	for _, l := range loads {
		running += l.Running
	}
	c.Check(running, qt.Equals, 1, qt.Commentf("a request is counted at one engine only"))
}

func TestPausesApplyToOneEntry(t *testing.T) {
	c := qt.New(t)
	p, table := place.New(noLimits(), noBudget()), engines()
	one := order("1", "s", 100)
	one.Entry = "entry-1"
	best, _ := p.Pick(one, table, spec, start)
	p.Ended("1")
	p.Pause(best, "entry-1", start.Add(time.Second))
	next, ok := p.Pick(one, table, spec, start)
	c.Check(ok, qt.IsTrue)
	c.Check(next.ID, qt.Not(qt.Equals), best.ID)
	for _, u := range table.Ready("p") {
		p.Pause(u, "entry-1", start.Add(2*time.Second))
	}
	_, ok = p.Pick(one, table, spec, start)
	c.Check(ok, qt.IsFalse, qt.Commentf("nothing is accepted from this entry"))
	opens, paused := p.PauseLeft(one, table, start)
	c.Check(paused, qt.IsTrue)
	c.Check(opens, qt.Equals, 2*time.Second)
	other := one
	other.ID, other.Entry = "2", "entry-2"
	_, ok = p.Pick(other, table, spec, start)
	c.Check(ok, qt.IsTrue)
	_, ok = p.Pick(one, table, spec, start.Add(2*time.Second))
	c.Check(ok, qt.IsTrue)
}

// A new leader does not know which prompts the engines have cached. It must send them to the same engines as the leader
// before it, or all prompts are read again after a change of leader.
func TestHomeEnginesSurviveAChangeOfLeader(t *testing.T) {
	c := qt.New(t)
	const sessions, rounds = 40, 5
	var all []hosts.Upstream
	for i := range 24 {
		all = append(all, hosts.Upstream{
			ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3), State: hosts.Ready})
	}
	table := hosts.New(all, start)
	cached := map[string]bool{} // by engine and session
	now, uncachedPrompts := start, 0
	const running = 30 // requests that are open at a time
	random := rand.New(rand.NewPCG(1, 2))
	for leader := range 4 {
		p := place.New(noLimits(), noBudget())
		for n := range sessions * rounds {
			now = now.Add(10 * time.Millisecond)
			session := fmt.Sprint(random.IntN(sessions))
			id := fmt.Sprint(leader, "-", n)
			o := order(id, session, 9000)
			o.Prefix = append(o.Prefix, call.PrefixBlock{ID: id, Tokens: 2700})
			o.Zone = fmt.Sprintf("z%d", random.IntN(3))
			u, ok := p.Pick(o, table, spec, now)
			c.Assert(ok, qt.IsTrue)
			if leader > 0 && !cached[u.ID+session] {
				uncachedPrompts++
			}
			cached[u.ID+session] = true
			p.FirstByte(id, now.Add(75*time.Millisecond)) // 2,700 tokens at 45 per ms
			p.Ended(fmt.Sprint(leader, "-", n-running))
		}
	}
	c.Check(uncachedPrompts <= 3*sessions/10, qt.IsTrue,
		qt.Commentf("%d prompts were read again after three changes of the leader, of %d sessions",
			uncachedPrompts, sessions))
}
