package upstream

import (
	"context"
	"fmt"
	"time"
)

// Upstream runs stage calls; it is a model engine, a member of a stage pool or a plain service.
type Upstream interface {
	// Call sends one call. An *Error with NotSent set means that nothing reached the upstream.
	Call(ctx context.Context, c Call) (Stream, error)
	// Load returns the upstream's report of its load, which lags.
	Load(ctx context.Context) (Load, error)
	// Ping opens a new connection and asks for an answer on it.
	Ping(ctx context.Context) error
}

// Call is one call of an upstream.
type Call struct {
	ID        string   `json:"id"` // of the attempt; the upstream repeats it in each event
	Kind      string   `json:"kind"`
	Model     string   `json:"model,omitempty"`
	Body      []byte   `json:"body"`
	MaxTokens uint32   `json:"maxTokens,omitempty"`
	Held      []string `json:"held,omitempty"` // tokens to continue from
	Priority  uint32   `json:"priority"`       // 0 is the most urgent
	Key       string   `json:"key,omitempty"`  // of an action
}

// Stream is the answer to a call; Close makes the upstream stop its work on it.
type Stream interface {
	// Next returns the next event; after a Last event it returns io.EOF.
	Next(ctx context.Context) (Event, error)
	Close() error
}

// Event is a token of a generation, or the whole result of another kind.
type Event struct {
	ID            string `json:"id"`
	Index         uint64 `json:"index"`
	Data          []byte `json:"data,omitempty"`
	Last          bool   `json:"last,omitempty"`
	Count         uint64 `json:"count,omitempty"`         // with Last: chunks of the answer, including those held
	PrefillTokens uint64 `json:"prefillTokens,omitempty"` // prompt tokens computed
	CachedTokens  uint64 `json:"cachedTokens,omitempty"`  // prompt tokens found in the prefix cache
}

// Load is an upstream's report of its load.
type Load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"` // when the upstream made the report
}

// Error is a failed call of an upstream.
type Error struct {
	Op       string // name of the failed call, such as call, load or ping
	NotSent  bool   // nothing reached the upstream
	Refused  bool   // the upstream answered that it did not run the call
	Rejected bool   // the upstream answered that the call is invalid
	Crashed  bool   // the connection broke while the call ran
	Silent   bool   // no progress within the timeout
	Cause    error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("upstream %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
