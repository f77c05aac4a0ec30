package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/adapt"
	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// comparisons offers and starts calls while n are waiting, and returns the mean number of comparisons per call.
func comparisons(n int) float64 {
	count := 0
	s := New[int](Options{Limit: adapt.Options{Floor: 1, Ceiling: 1}, MaxWait: 24 * time.Hour})
	counted := func(less func(a, b *Job[int]) bool) func(a, b *Job[int]) bool {
		return func(a, b *Job[int]) bool { count++; return less(a, b) }
	}
	s.expiry = prio.New(counted(expiresBefore[int]), func(j *Job[int], i int) { j.expiryIndex = i })
	s.short.jobs = prio.New(counted(dueBefore[int]), func(j *Job[int], i int) { j.queueIndex = i })
	s.short.active = prio.New(
		func(a, b *flow[int]) bool { count++; return a.startTag < b.startTag },
		func(f *flow[int], i int) { f.index = i },
	)
	rng := rand.New(rand.NewPCG(1, 1))
	offer := func() {
		remaining := time.Hour + time.Duration(rng.Int64N(int64(time.Hour)))
		call := Call{Team: fmt.Sprint(rng.IntN(n)), Remaining: remaining, Estimate: time.Millisecond}
		if _, err := s.Offer(call, 0, start); err != nil {
			panic(err)
		}
	}
	for range n {
		offer()
	}
	count = 0
	const rounds = 200
	for range rounds {
		offer()
		j, err := s.Next(start)
		if err != nil {
			panic(err)
		}
		s.Finish(j, start, Result{})
	}
	return float64(count) / rounds
}

func TestCostGrowsWithTheLogarithm(t *testing.T) {
	few, many := comparisons(100), comparisons(10_000)
	// log2(10000)/log2(100) is 2.
	qt.Check(t, many/few <= 2, qt.IsTrue, qt.Commentf("%.1f comparisons at 100 waiting, %.1f at 10000", few, many))
}
