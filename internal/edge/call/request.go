package call

import "time"

// PrefixBlock is a run of prompt tokens that several requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Request is what the head of a caller's request says.
type Request struct {
	ID           string // names one attempt of the caller
	Key          string // the caller's secret
	Remaining    time.Duration
	HasDeadline  bool
	Model        string
	PromptTokens int
	OutputLimit  int // tokens
	OutputHint   int // the caller's estimate in tokens; 0 if none
	Prefix       []PrefixBlock
	Pieces       []int  // of each stage
	PieceKey     string // input of the stages that come first
	LastEventID  string // where a resumed stream goes on
}

// HasAtMostPieces reports whether all stages together have at most that many pieces.
func (r Request) HasAtMostPieces(most int) bool {
	for _, n := range r.Pieces {
		if n > most {
			return false
		}
		most -= n
	}
	return true
}

// Forward is what is added to a request on its way to an upstream.
type Forward struct {
	Instance    string // the only lifetime that may run it
	Team        string
	Remaining   time.Duration
	Inputs      []string // handles of the results that the request reads
	LastEventID string   // where a resumed stream goes on; empty leaves the caller's
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	RequestID string // echo of the request's ID
	NotRun    bool   // the upstream states that it did not run the request
	IdleLimit time.Duration
	// Leaving says that the upstream is about to end.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests after it turned one away; 0 if it does not say.
	RetryAfter time.Duration
}

// Item is one piece of a stage in a batch.
type Item struct {
	RequestID string
	Stage     int
	Piece     int
	Remaining time.Duration
	Key       string   // of a stage that comes first
	Inputs    []string // handles, of any other
}

// Failure says why an upstream has no result for a piece.
type Failure string

// The failures of pieces.
const (
	FailedLate      Failure = "late"  // its time was over when its turn came
	FailedInputGone Failure = "gone"  // an input no longer exists
	FailedNoMemory  Failure = "room"  // there is no memory for the result
	FailedOther     Failure = "error" // any other
)

// Result is the outcome of one piece: a handle or a failure.
type Result struct {
	Handle  string
	Failure Failure
}
