package exec

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	// cancelTimeout bounds how long a side may take to confirm a cancel.
	cancelTimeout = time.Second
	// tombstoneMargin is how long a tombstone outlives the request's deadline.
	tombstoneMargin = 10 * time.Second
)

// abandon cancels an attempt that ended without its last frame. For an action it waits
// for the tombstone, which alone can make the verdict NotRun.
func (a *attempt) abandon(ctx context.Context, f *fault.Error) *fault.Error {
	if !a.step.spec.IsAction() || ctx.Err() != nil {
		go a.cancel()
		return f
	}
	if a.cancel() == fault.NotRun {
		return f.WithVerdict(fault.NotRun)
	}
	return f
}

// cancel leaves a tombstone at the side and returns what the side says of the attempt.
func (a *attempt) cancel() fault.Verdict {
	side, ok := a.step.run.e.router.Side(a.target.Name)
	if !ok {
		return fault.MayHaveRun
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	keep := time.Until(a.step.run.req.Deadline) + tombstoneMargin
	reply, err := side.Cancel(ctx, &sidepb.CancelRequest{Id: a.call.GetId(), KeepMs: keep.Milliseconds()})
	if err != nil || fault.Verdict(reply.GetVerdict()) != fault.NotRun {
		return fault.MayHaveRun
	}
	return fault.NotRun
}
