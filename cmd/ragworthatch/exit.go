package main

import (
	"errors"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

// exitError is a failure with its exit code.
type exitError struct {
	code  int
	cause error
}

// Error names the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func usagef(format string, args ...any) error {
	return &exitError{code: exitUsage, cause: fmt.Errorf(format, args...)}
}

func fileError(err error) error { return &exitError{code: exitFile, cause: err} }

// codeOf is the exit code of an error.
func codeOf(err error) int {
	var e *exitError
	var s *setup.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &s):
		return exitFile
	default:
		return exitFailed
	}
}
