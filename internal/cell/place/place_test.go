package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/cell/place"
	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

var (
	start = time.Unix(1000, 0)
	spec  = rule.Engine{Slots: 64, Tokens: 400_000}
)

// engines is a table of six engines in three zones.
func engines() *hosts.Table {
	var all []hosts.Upstream
	for i := range 6 {
		all = append(all, hosts.Upstream{ID: fmt.Sprintf("e%d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3), State: hosts.Ready})
	}
	return hosts.New(all, start)
}

func order(id, session string, prompt int) place.Order {
	return place.Order{
		ID: id, Pool: "p", Zone: "z0", Model: "m", PromptTokens: prompt, OutputTokens: 50,
		Prefix: []call.Part{{ID: "shared", Tokens: 2500}, {ID: session, Tokens: 3800}},
	}
}

func TestSessionsReturnToTheEngineThatHasTheirPrefix(t *testing.T) {
	c := qt.New(t)
	p := place.New()
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

func TestLoadOutweighsThePrefix(t *testing.T) {
	c := qt.New(t)
	p := place.New()
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
	u, _ := place.New().Pick(o, engines(), spec, start)
	c.Check(u.Zone, qt.Equals, "z2")
}

func TestFailingEnginesAreLeftOutForAWhile(t *testing.T) {
	c := qt.New(t)
	p := place.New()
	first, _ := p.Pick(order("1", "s", 9000), engines(), spec, start)
	p.Failed(first.ID, start)
	c.Check(p.Failed(first.ID, start) > 0, qt.IsTrue)
	u, _ := p.Pick(order("2", "s", 9000), engines(), spec, start)
	c.Check(u.ID, qt.Not(qt.Equals), first.ID)
}

func TestRefusedRequestsGoElsewhere(t *testing.T) {
	c := qt.New(t)
	p := place.New()
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
