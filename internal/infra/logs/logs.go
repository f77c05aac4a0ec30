package logs

import (
	"context"
	"fmt"
)

// Streams of the system on the log service.
const (
	ConfigStream = "config"
	PlanStream   = "plan"
	actionPrefix = "actions."
)

// ActionStream returns the name of the stream with the claims, outcomes and settlements of one plain service.
func ActionStream(service string) string { return actionPrefix + service }

// Service is an append-only log of streams with offsets; it keeps records for a limited time.
type Service interface {
	// Append adds records at consecutive offsets and returns the first.
	// After an *Error with MayHaveAppended set the records may be in the stream, now or later.
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns up to limit records from offset from on, without waiting for new ones.
	// If from is below the oldest offset kept, it reads from the oldest on.
	Read(ctx context.Context, stream string, from int64, limit int) (Batch, error)
}

// Batch is part of a stream: Records[i] has the offset First+i.
type Batch struct {
	First   int64    `json:"first"`
	Records [][]byte `json:"records"`
	Oldest  int64    `json:"oldest"` // oldest offset kept
	Next    int64    `json:"next"`   // offset that the next append gets
}

// Error is a failed call of the log service.
type Error struct {
	Op              string // append or read
	Stream          string
	MayHaveAppended bool // an append that may have taken effect or may still do so
	Cause           error
}

// Error returns the operation, the stream and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("log %s %q: %v", e.Op, e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
