package record

import "fmt"

// Reason says why a record cannot be read.
type Reason string

// The reasons.
const (
	Truncated   Reason = "cut"
	Corrupt     Reason = "corrupt"
	NewerFormat Reason = "newerFormat"
	Malformed   Reason = "malformed"
)

// Error is a record that cannot be read.
type Error struct {
	Reason Reason
	Cause  error
}

// Error names the reason and the cause.
func (e *Error) Error() string { return fmt.Sprintf("record is %s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
