package main

import (
	"context"
	"errors"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

// client validates the options and returns a client of the entry.
func (o *operatorOptions) client() (*admin.Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return admin.New(o.entry, o.token), nil
}

// unknownUnlessNotRun gives an error the exit code for an unknown outcome and appends the hint, unless the entry
// reported that the call had no effect.
func unknownUnlessNotRun(err error, hint string) error {
	var refused *fault.Error
	if err == nil || (errors.As(err, &refused) && refused.Verdict == fault.NotRun) {
		return err
	}
	return &exitError{code: exitUnknown, cause: errors.Join(err, errors.New(hint))}
}

// printResult prints the result of a publish. It returns an error with the exit code unless the publish was accepted.
func (s *streams) printResult(asJSON bool, r publish.Result) error {
	if err := s.print(asJSON, r, resultText(r)); err != nil {
		return err
	}
	switch r.State {
	case publish.Accepted:
		return nil
	case publish.Unknown:
		return &exitError{code: exitUnknown, cause: &publish.Error{Result: r}}
	default:
		return &publish.Error{Result: r}
	}
}

// withTimeout returns a context that ends after callTimeout, for all calls of a command together.
func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
