package assemble

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// failureError converts a side's failure frame to an error; an unknown verdict becomes MayHaveRun.
func failureError(f *sidepb.Failure) *fault.Error {
	v := fault.Verdict(f.GetVerdict())
	if v != fault.NotRun && v != fault.Ran {
		v = fault.MayHaveRun
	}
	e := fault.New(v, fault.Code(f.GetCode()), "%s", f.GetMessage())
	return e.WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}
