package query

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// refused returns a side's refusal that no other side would answer differently, else nil.
func refused(err error) *fault.Error {
	s, ok := status.FromError(err)
	if !ok {
		return nil
	}
	switch s.Code() {
	case codes.InvalidArgument:
		return fault.New(fault.NotRun, fault.BadRequest, "%s", s.Message())
	case codes.FailedPrecondition:
		return fault.New(fault.NotRun, fault.Conflict, "%s", s.Message())
	default:
		return nil
	}
}
