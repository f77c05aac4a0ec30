package main

import (
	"errors"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// usagef returns an error of the command line.
func usagef(format string, args ...any) error {
	return &exitError{code: exitUsage, cause: fmt.Errorf(format, args...)}
}

// fileError returns an error of a settings or declaration file.
func fileError(err error) error { return &exitError{code: exitFile, cause: err} }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var e *exitError
	var s *setup.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &s):
		return exitFile
	default:
		return exitFailed
	}
}
