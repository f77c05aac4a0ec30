package record

import "fmt"

// Reason is the reason why a record cannot be decoded.
type Reason string

// The reasons.
const (
	Truncated   Reason = "cut"         // the end with the checksum is missing
	Corrupt     Reason = "corrupt"     // the checksum does not match
	NewerFormat Reason = "newerFormat" // written by a newer program
	Malformed   Reason = "malformed"   // not valid although the checksum matches
)

// Error is returned for a record that cannot be decoded.
type Error struct {
	Reason Reason
	Cause  error
}

// Error names the reason and the cause.
func (e *Error) Error() string { return fmt.Sprintf("record is %s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
