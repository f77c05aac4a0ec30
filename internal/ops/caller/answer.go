package caller

import (
	"encoding/json"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// Request is one call of a pipeline.
type Request struct {
	ID       string
	Pipeline string
	Token    string // bearer token of the team
	Input    json.RawMessage
	Deadline time.Duration // zero means the default of the pipeline
	Key      string        // idempotency key of the action; empty without one
	Stream   bool
}

// Answer is the answer to a request, or what was received of it.
type Answer struct {
	Status  int // HTTP status, 0 without an answer
	Verdict fault.Verdict
	// Action is the verdict on the action of the request; empty without an action.
	Action  fault.Verdict
	Code    fault.Code
	Message string
	// Whole reports whether the answer is marked as complete and matches its token count and digest.
	Whole bool
	// Ended reports whether a final event or a complete body was received, be it a result or an error.
	Ended      bool
	Duplicates int // tokens out of order, or final events after the first
	Text       string
	Result     json.RawMessage
	Tokens     int
	Replayed   bool
	Preset     string
	Revision   int64
	Latency    time.Duration
	// FirstToken is the time to the first token; zero without one.
	FirstToken time.Duration
	Err        error // why the answer is incomplete or invalid
}

// answerBody is the body of a complete answer and the data of the final event of a stream.
type answerBody struct {
	RequestID string          `json:"requestId"`
	Preset    string          `json:"preset"`
	Revision  int64           `json:"revision"`
	Whole     bool            `json:"whole"`
	Count     int             `json:"count"`
	Digest    string          `json:"digest"`
	Text      *string         `json:"text"`
	Result    json.RawMessage `json:"result"`
	Replayed  bool            `json:"replayed"`
}

// errorBody is the body of an error response and the data of an error event.
type errorBody struct {
	RequestID string `json:"requestId"`
	Error     struct {
		Verdict fault.Verdict `json:"verdict"`
		Action  fault.Verdict `json:"actionVerdict"`
		Code    fault.Code    `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text"`
	Base64 []byte `json:"base64"` // replaces Text if the token is not valid UTF-8
}

// requestBody is the body of a request.
type requestBody struct {
	RequestID  string          `json:"requestId,omitempty"`
	DeadlineMs int64           `json:"deadlineMs,omitempty"`
	Key        string          `json:"key,omitempty"`
	Stream     bool            `json:"stream,omitempty"`
	Input      json.RawMessage `json:"input"`
}
