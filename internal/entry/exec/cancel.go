package exec

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	// cancelTimeout is the time that a side has to confirm a cancel.
	cancelTimeout = time.Second
	// tombstoneMargin is the time that a side keeps a tombstone after the request's deadline.
	tombstoneMargin = 10 * time.Second
)

// cancelUnfinished cancels an attempt that ended without its last frame. For an action it waits for the side's reply,
// since only a confirmed tombstone allows the verdict NotRun.
func (a *attempt) cancelUnfinished(ctx context.Context, f *fault.Error) *fault.Error {
	if !a.stage.spec.IsAction() || ctx.Err() != nil {
		go a.cancel()
		return f
	}
	if a.cancel() == fault.NotRun {
		return f.WithVerdict(fault.NotRun)
	}
	return f
}

// cancel has the side store a tombstone, which refuses the call if it arrives later. It returns NotRun if the side
// confirms that the attempt did not run, and MayHaveRun otherwise.
func (a *attempt) cancel() fault.Verdict {
	side, ok := a.stage.run.executor.router.Side(a.target.Name)
	if !ok {
		return fault.MayHaveRun
	}
	ctx, release := context.WithTimeout(context.Background(), cancelTimeout)
	defer release()
	retention := time.Until(a.stage.run.req.Deadline) + tombstoneMargin
	reply, err := side.Cancel(ctx, &sidepb.CancelRequest{Id: a.call.GetId(), KeepMs: retention.Milliseconds()})
	if err != nil || fault.Verdict(reply.GetVerdict()) != fault.NotRun {
		return fault.MayHaveRun
	}
	return fault.NotRun
}
