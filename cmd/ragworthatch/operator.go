package main

import (
	"context"
	"errors"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

// client checks the options and returns a client of the entry.
func (o *operatorOptions) client() (*admin.Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	return admin.New(o.entry, o.token), nil
}

// unlessRefused turns a call that may have taken effect into an unknown outcome.
func unlessRefused(err error, hint string) error {
	var refused *fault.Error
	if err == nil || (errors.As(err, &refused) && refused.Verdict == fault.NotRun) {
		return err
	}
	return &exitError{code: exitUnknown, cause: errors.Join(err, errors.New(hint))}
}

// decided prints the result of a publish; the error carries the exit code.
func (s *streams) decided(asJSON bool, r publish.Result) error {
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

// withTimeout bounds one command's calls.
func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
