package classify

import (
	"context"
	"errors"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// Error returns the *fault.Error for a call of the upstream that failed after dispatch. The verdict is NotRun only if
// the upstream refused or rejected the call in its answer, or if nothing of the call was sent.
func Error(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	var u *upstream.Error
	if errors.As(err, &u) {
		return fromUpstream(u).WithCause(err)
	}
	return fromContext(err).WithCause(err)
}

// fromUpstream returns the fault for a failed call by what the upstream's client found out about it.
func fromUpstream(u *upstream.Error) *fault.Error {
	switch {
	case u.NotSent:
		return fault.New(fault.NotRun, fault.Transport, "upstream could not be reached")
	case u.Refused:
		return fault.New(fault.NotRun, fault.Overloaded, "upstream refused the call")
	case u.Rejected:
		return fault.New(fault.NotRun, fault.BadRequest, "upstream found the call malformed")
	case u.Crashed:
		return fault.New(fault.MayHaveRun, fault.Crashed, "connection to the upstream broke while the call ran")
	case u.Silent:
		return fault.New(fault.MayHaveRun, fault.Silent, "upstream made no progress within the bound")
	}
	return fromContext(u.Cause)
}

// fromContext returns the fault for any other error: a passed deadline, a cancel or an unknown failure.
func fromContext(err error) *fault.Error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.MayHaveRun, fault.Deadline, "deadline passed while the call ran")
	case errors.Is(err, context.Canceled):
		return fault.New(fault.MayHaveRun, fault.Canceled, "call was canceled while it ran")
	}
	return fault.New(fault.MayHaveRun, fault.Upstream, "upstream call failed")
}
