package query

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// finalError returns the error of a call that every side would refuse, or nil if another side may answer.
func finalError(err error) *fault.Error {
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
