package gate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/gate"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

// TestManyCallersLeaveTheGateEmpty mixes teams, size classes, exclusive calls and callers that cancel.
func TestManyCallersLeaveTheGateEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, reserved = 8, 2 // a size class may use its reserved slots even beyond the limit
		g := gate.New(gate.Options{Floor: limit, Ceiling: limit})
		var running, exclusive, ran, refused atomic.Int64
		var wg sync.WaitGroup
		for i := range 400 {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			wg.Go(func() {
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(50+rng.IntN(3000))*time.Millisecond)
				defer cancel()
				call := gate.Call{
					Team:      fmt.Sprint(rng.IntN(5)),
					Remaining: 3 * time.Second,
					Exclusive: rng.IntN(40) == 0,
				}
				if rng.IntN(3) == 0 {
					call.SizeClass = pipe.Long
				}
				permit, err := g.Acquire(ctx, call)
				if err != nil {
					qt.Check(t, fault.From(err).Verdict, qt.Equals, fault.NotRun)
					refused.Add(1)
					return
				}
				now := running.Add(1)
				qt.Check(t, now <= limit+reserved, qt.IsTrue)
				if call.Exclusive {
					exclusive.Add(1)
				}
				qt.Check(t, exclusive.Load() == 0 || now == 1, qt.IsTrue, qt.Commentf("%d run while a call should run alone", now))
				time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
				if call.Exclusive {
					exclusive.Add(-1)
				}
				running.Add(-1)
				ran.Add(1)
				permit.Done(gate.Result{})
			})
		}
		wg.Wait()
		qt.Check(t, ran.Load()+refused.Load(), qt.Equals, int64(400))
		qt.Check(t, ran.Load() > 100, qt.IsTrue, qt.Commentf("%d ran", ran.Load()))
		qt.Check(t, g.Load().Running, qt.Equals, 0)
		qt.Check(t, g.Load().Queued, qt.Equals, 0)
	})
}
