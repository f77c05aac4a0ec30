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
	Deadline time.Duration // 0 means the pipeline's own
	Key      string        // of an action
	Stream   bool
}

// Answer is what came back.
type Answer struct {
	Status  int // of HTTP, 0 without an answer
	Verdict fault.Verdict
	// Action is the verdict on the request's action; empty without one.
	Action  fault.Verdict
	Code    fault.Code
	Message string
	// Whole means that the answer says so, and that its count and digest agree.
	Whole bool
	// Ended means that a last event or a whole body came, good or bad.
	Ended    bool
	Repeated int // tokens or last events that came more than once
	Text     string
	Result   json.RawMessage
	Tokens   int
	Replayed bool
	Preset   string
	Revision int64
	Took     time.Duration
	// FirstToken is the time to the first token, zero without one.
	FirstToken time.Duration
	Err        error // why the answer did not end, or is not whole
}

// wholeBody is a whole answer, and the data of a stream's last event.
type wholeBody struct {
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

type errorBody struct {
	RequestID string `json:"requestId"`
	Error     struct {
		Verdict fault.Verdict `json:"verdict"`
		Action  fault.Verdict `json:"actionVerdict"`
		Code    fault.Code    `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

type tokenEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text"`
	Base64 []byte `json:"base64"`
}

// envelope is the body of a request.
type envelope struct {
	RequestID  string          `json:"requestId,omitempty"`
	DeadlineMs int64           `json:"deadlineMs,omitempty"`
	Key        string          `json:"key,omitempty"`
	Stream     bool            `json:"stream,omitempty"`
	Input      json.RawMessage `json:"input"`
}
