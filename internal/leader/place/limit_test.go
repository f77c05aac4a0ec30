package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/limit/kvmem"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// limitsAt returns a limiter with a fake clock, for a process that may use all of each limit.
func limitsAt(now *time.Time) *pace.Limiter[hosts.Lifetime] {
	return pace.New[hosts.Lifetime](pace.Options{
		Share: func() float64 { return 1 }, Now: func() time.Time { return *now },
	})
}

// noBudget returns a budget of a process that leads all entries.
func noBudget() *kvmem.Budget {
	return kvmem.New(kvmem.Options{Share: func() float64 { return 1 }, Now: func() time.Time { return start }})
}

func noLimits() *pace.Limiter[hosts.Lifetime] { return limitsAt(&start) }

// Two thirds of the engines name limits: they get what they named, and the others get the rest. Engines read a prompt in
// 60 ms, so the two others can't take all.
func TestWorkGoesToEnginesThatAreNotLimited(t *testing.T) {
	const seconds, perSecond, rate = 10, 40, 2
	const reading = 60 * time.Millisecond
	c := qt.New(t)
	now := start
	limits := limitsAt(&now)
	p := place.New(limits, noBudget())
	for i := range 4 {
		limits.Observe(pace.Statement[hosts.Lifetime]{
			Key: hosts.Lifetime{ID: fmt.Sprintf("e%d", i)}, Limited: true, Rate: rate, At: now})
	}
	used := map[string]int{}
	var running []string
	freeAt, firstAt := map[string]time.Time{}, map[string]time.Time{} // by engine and by request
	for i := range seconds * perSecond {
		now = start.Add(time.Duration(i) * time.Second / perSecond)
		running = slices.DeleteFunc(running, func(id string) bool {
			if firstAt[id].After(now) {
				return false
			}
			p.FirstByte(id, firstAt[id])
			p.Ended(id)
			return true
		})
		id := fmt.Sprint(i)
		o := order(id, id, 7000)
		o.Within = 4 * time.Second
		u, ok := p.Pick(o, engines(), spec, now)
		c.Assert(ok, qt.IsTrue)
		used[u.ID]++
		if freeAt[u.ID].Before(now) {
			freeAt[u.ID] = now
		}
		freeAt[u.ID] = freeAt[u.ID].Add(reading)
		firstAt[id] = freeAt[u.ID].Add(15 * time.Millisecond)
		running = append(running, id)
	}
	for i := range 4 {
		n := used[fmt.Sprintf("e%d", i)]
		c.Check(n >= rate*seconds/2 && n <= rate*seconds+1, qt.IsTrue, qt.Commentf("%d requests to e%d", n, i))
	}
}

// A burst with all engines but one limited: that one gets what it can begin in time, and the capacity says so.
func TestTheLastEngineWithoutALimitIsNotOverloaded(t *testing.T) {
	c := qt.New(t)
	now := start
	limits := limitsAt(&now)
	p := place.New(limits, noBudget())
	for i := range 5 {
		limits.Observe(pace.Statement[hosts.Lifetime]{
			Key: hosts.Lifetime{ID: fmt.Sprintf("e%d", i)}, Limited: true, Rate: 1, At: now})
	}
	const within = time.Second
	expected, _, known := p.Capacity(place.Order{Pool: "p"}, engines(), within, now)
	c.Check(known, qt.IsTrue)
	picked := 0
	for i := range 200 {
		o := order(fmt.Sprint(i), fmt.Sprint(i), 7000)
		o.Within = within
		if u, ok := p.Pick(o, engines(), spec, now); ok {
			c.Check(u.ID, qt.Equals, "e5")
			picked++
		}
	}
	c.Check(picked > 5 && picked < 15, qt.IsTrue, qt.Commentf("%d requests in a second", picked))
	c.Check(expected > 5 && expected < 30, qt.IsTrue, qt.Commentf("%v expected", expected))
	left, wait, _ := p.Capacity(place.Order{Pool: "p"}, engines(), within, now)
	c.Check(left < 6, qt.IsTrue, qt.Commentf("%v left", left))
	c.Check(wait > 0, qt.IsTrue)
}
