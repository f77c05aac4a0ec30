package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
)

const mb = 1 << 20

// A crowd of large bodies, one team's among them, left no memory for others: ordinary requests are still granted theirs.
func TestOneKindOrOwnerDoesNotTakeAll(t *testing.T) {
	c := qt.New(t)
	b := memory.New(100 * mb) // bodies have 16 MB
	taken := 0
	for b.TryAcquire(memory.Bodies, "greedy", 4*mb) {
		taken++
	}
	c.Check(taken, qt.Equals, 3)
	c.Check(b.TryAcquire(memory.Bodies, "other", 4*mb), qt.IsTrue)
	c.Check(b.TryAcquire(memory.Bodies, "third", 1*mb), qt.IsFalse)
	c.Check(b.TryAcquire(memory.SmallBodies, "greedy", 100<<10), qt.IsTrue)
	c.Check(b.TryAcquire(memory.Heads, "", mb), qt.IsTrue)
	b.Release(memory.Bodies, "other", 4*mb)
	c.Check(b.TryAcquire(memory.Bodies, "third", 1*mb), qt.IsTrue)
}

// A single request of the largest size was refused on a host whose part is smaller.
func TestASingleHolderMayExceedItsPart(t *testing.T) {
	c := qt.New(t)
	b := memory.New(10 * mb)
	c.Check(b.TryAcquire(memory.Bodies, "team", 4*mb), qt.IsTrue)
	c.Check(b.TryAcquire(memory.Bodies, "team", 1), qt.IsFalse)
	b.Release(memory.Bodies, "team", 4*mb)
	used, _ := b.Load(memory.Bodies)
	c.Check(used, qt.Equals, int64(0))
}

// Those that wait are served in order, a large one is not passed by small ones for ever, and giving up frees the way.
func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := memory.New(100 * mb)
		c.Assert(b.TryAcquire(memory.Bodies, "", 16*mb), qt.IsTrue)
		served := make(chan string, 3)
		wait := func(name string, bytes int64, patience time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			if !b.Acquire(ctx, memory.Bodies, "", bytes) {
				name += " refused"
			}
			served <- name
		}
		go wait("large", 12*mb, time.Second)
		synctest.Wait()
		go wait("small", 4*mb, time.Minute)
		synctest.Wait()
		b.Release(memory.Bodies, "", 4*mb)
		synctest.Wait()
		c.Check(len(served), qt.Equals, 0)
		c.Check(<-served, qt.Equals, "large refused")
		c.Check(<-served, qt.Equals, "small")
		go wait("last", 8*mb, time.Minute)
		synctest.Wait()
		b.Resize(200 * mb)
		c.Check(<-served, qt.Equals, "last")
	})
}

// Without the setting there is no budget, and nothing is refused.
func TestNoBudgetGrantsEverything(t *testing.T) {
	c := qt.New(t)
	var b *memory.Budget
	c.Check(b.Acquire(t.Context(), memory.Bodies, "team", 1<<40), qt.IsTrue)
	b.Release(memory.Bodies, "team", 1<<40)
}
