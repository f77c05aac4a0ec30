package kvmem_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/kvmem"
)

// Entries place long prompts on one engine as fast as memory allows. One is cut off and decides alone, then the leader is
// lost and another entry leads. The engine must never hold more than its memory, or it crashes with all its requests.
func TestEnginesNeverHoldMoreThanTheirMemory(t *testing.T) {
	const entries, capacity, duration = 24, 297_751, 6 * time.Second
	c := qt.New(t)
	now := time.Unix(1000, 0)
	begin := now
	random := rand.New(rand.NewPCG(1, 2))
	shares := map[int]*float64{}
	budgets := map[int]*kvmem.Budget{}
	for i := range entries {
		share := 0.0
		shares[i] = &share
		budgets[i] = kvmem.New(kvmem.Options{Share: func() float64 { return share }, Now: func() time.Time { return now }})
	}
	running, held, most, atLeader := map[string]kvmem.Request{}, 0, 0, 0
	placed := 0
	place := func(decider, owner int) {
		placed++
		r := kvmem.Request{ID: fmt.Sprint(placed), Owner: fmt.Sprint(owner), Engine: "e",
			Tokens: 500 + random.IntN(9000), Until: now.Add(duration)}
		if budgets[decider].Fits("e", r.Tokens, capacity, 1) {
			budgets[decider].Reserve(r)
			running[r.ID] = r
			held += r.Tokens
			most = max(most, held)
		}
	}
	ownedBy := func(owner string) (runs []kvmem.Request) {
		for _, r := range running {
			if r.Owner == owner {
				runs = append(runs, r)
			}
		}
		return runs
	}
	leader, cut := 0, 7
	*shares[leader] = 1
	for step := range 4000 {
		now = begin.Add(time.Duration(step) * 10 * time.Millisecond)
		switch step {
		case 1000: // the leader notices that an entry is cut off, which knows its own requests
			for _, r := range ownedBy("7") {
				budgets[leader].Abandon(r.ID)
				budgets[cut].Reserve(r)
			}
			*shares[leader], *shares[cut] = 23.0/entries, 1.0/entries
		case 2000: // another entry leads, and the 22 others tell it what runs
			*shares[leader], leader = 0, 1
			for owner := range entries {
				for _, r := range ownedBy(fmt.Sprint(owner)) {
					if owner != cut {
						budgets[leader].Reserve(r)
					}
				}
			}
			*shares[leader] = 23.0 / entries
		case 3000: // the entry that was cut off is back
			budgets[leader].Reported("7")
			for _, r := range ownedBy("7") {
				budgets[leader].Reserve(r)
			}
			*shares[leader], *shares[cut] = 1, 0
		}
		for id, r := range running {
			if !now.Before(r.Until) {
				held -= r.Tokens
				delete(running, id)
				for _, b := range budgets {
					b.Release(id)
					b.Sweep()
				}
			}
		}
		for range 4 {
			owner := random.IntN(entries)
			if owner == cut && step >= 1000 && step < 3000 {
				place(cut, cut)
				continue
			}
			place(leader, owner)
		}
		if step%10 == 0 && step > 2000 && step < 2200 {
			place(0, 0) // the replaced leader still decides on a few
		}
		if step > 700 && step < 1000 {
			atLeader = max(atLeader, held)
		}
	}
	c.Check(most <= capacity, qt.IsTrue, qt.Commentf("%d of %d tokens", most, capacity))
	c.Check(atLeader > capacity*9/10, qt.IsTrue, qt.Commentf("the leader uses %d of %d tokens", atLeader, capacity))
}

func TestARequestLargerThanTheMarginGetsAnEngineOfItsOwn(t *testing.T) {
	c := qt.New(t)
	b := kvmem.New(kvmem.Options{Share: func() float64 { return 1 }, Now: time.Now})
	c.Check(b.Fits("e", 1000, 1000, 0.9), qt.IsTrue)
	c.Check(b.Fits("e", 1001, 1000, 1), qt.IsFalse)
	b.Reserve(kvmem.Request{ID: "1", Engine: "e", Tokens: 100})
	c.Check(b.Fits("e", 900, 1000, 1), qt.IsFalse)
	b.Release("1")
	c.Check(b.Fits("e", 1000, 1000, 1), qt.IsTrue)
}
