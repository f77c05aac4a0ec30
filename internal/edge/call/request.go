package call

import "time"

// PrefixBlock is a run of prompt tokens that several requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Request holds the fields of the header of a caller's request.
type Request struct {
	ID           string        // of one attempt of the caller
	Key          string        // API key of the caller
	Remaining    time.Duration // until the deadline that the caller states
	HasDeadline  bool          // the caller states a deadline
	Model        string
	PromptTokens int
	OutputLimit  int // tokens
	OutputHint   int // the caller's estimate in tokens; 0 if none
	Prefix       []PrefixBlock
	Pieces       []int  // number of pieces of each stage
	PieceKey     string // input of the stages that depend on no other
	LastEventID  string // the last one that the caller of a resumed stream has
	Resumes      string // ID of the attempt that brought the first event of that stream
}

// HasAtMostPieces reports whether all stages together have at most that many pieces; it can't overflow.
func (r Request) HasAtMostPieces(most int) bool {
	for _, n := range r.Pieces {
		if n > most {
			return false
		}
		most -= n
	}
	return true
}

// Forward holds the fields that are added to the header of a request to an upstream.
type Forward struct {
	Instance    string // ID of the only upstream that may run the request
	Team        string
	Remaining   time.Duration
	Inputs      []string // handles of the results that the request reads
	LastEventID string   // where a resumed stream continues; if empty, the caller's stays
}

// Answer holds the fields of the header of an upstream's answer.
type Answer struct {
	RequestID string        // echo of the request's ID
	NotRun    bool          // the upstream states that it did not run the request
	IdleLimit time.Duration // the upstream closes connections that are idle for longer; 0 if it does not say
	// Leaving says that the upstream is shutting down.
	Leaving bool
	// RetryAfter is how long the upstream, which refused this request, wants no others; 0 if it does not say.
	RetryAfter time.Duration
	// Limit is the number of requests per second that the upstream accepts from all entries together; see HasLimit.
	Limit    float64
	HasLimit bool // the upstream states a limit
	// Load is what the upstream says of its load; see HasLoad.
	Load    Load
	HasLoad bool // the upstream states its load
}

// Load is what an upstream says of its load in an answer.
type Load struct {
	Running     int // requests
	Waiting     int // requests
	Slots       int // requests that run at once
	TimePercent int // how long work takes now, 100 being as usual; 0 if the upstream does not say
}

// Item is one piece of a stage in a batch.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	Remaining time.Duration
	Key       string   // input of a stage that depends on no other
	Inputs    []string // handles of the inputs of any other stage
}

// Failure says why an upstream has no result for a piece.
type Failure string

// The failures of pieces.
const (
	FailedLate      Failure = "late"  // its deadline passed while it was queued
	FailedInputGone Failure = "gone"  // an input no longer exists
	FailedNoMemory  Failure = "room"  // no memory for the result
	FailedOther     Failure = "error" // any other cause
)

// Result is the outcome of one piece: a handle or a failure.
type Result struct {
	Handle  string
	Failure Failure
}
