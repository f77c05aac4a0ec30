package prio_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
)

type item struct{ value, index int }

func TestHeapOrdersAfterRemovals(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	h := prio.New(func(a, b *item) bool { return a.value < b.value }, func(i *item, at int) { i.index = at })
	var kept []int
	for n := range 1000 {
		i := &item{value: rng.IntN(100)}
		h.Push(i)
		if n%3 == 0 {
			h.Remove(i.index)
			qt.Assert(t, i.index, qt.Equals, -1)
			continue
		}
		kept = append(kept, i.value)
	}
	slices.Sort(kept)
	for _, want := range kept {
		i, ok := h.Min()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, i.value, qt.Equals, want)
		h.Remove(0)
	}
	_, ok := h.Min()
	qt.Check(t, ok, qt.IsFalse)
}
