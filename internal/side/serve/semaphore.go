package serve

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// weighted is a gate with a fixed limit; a call that runs alone takes all of it.
type weighted struct {
	limit int64
	sem   *semaphore.Weighted
}

func newSemaphore(limit int) *weighted {
	return &weighted{limit: int64(limit), sem: semaphore.NewWeighted(int64(limit))}
}

// Enter waits for a slot within the call's remaining time.
func (w *weighted) Enter(ctx context.Context, t Ticket) (Pass, error) {
	n := int64(1)
	if t.Alone {
		n = w.limit
	}
	ctx, cancel := context.WithTimeout(ctx, t.Remaining-t.After)
	defer cancel()
	if err := w.sem.Acquire(ctx, n); err != nil {
		return nil, fault.New(fault.NotRun, fault.TooLate, "no slot became free in time").WithCause(err)
	}
	return slots{sem: w.sem, n: n}, nil
}

// Limit is the fixed limit.
func (w *weighted) Limit() int { return int(w.limit) }

type slots struct {
	sem *semaphore.Weighted
	n   int64
}

// Done gives the slots back.
func (s slots) Done(Result) { s.sem.Release(s.n) }
