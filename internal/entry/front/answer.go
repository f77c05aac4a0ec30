package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// answerBody is the body of a complete answer, and the data of the last event of a stream.
type answerBody struct {
	RequestID string          `json:"requestId"` // the caller's own ID if it sent one
	Pipeline  string          `json:"pipeline"`
	Preset    string          `json:"preset"`
	Revision  int64           `json:"revision"`
	Whole     bool            `json:"whole"`
	Count     int             `json:"count"`  // tokens, or 1 for a result
	Digest    string          `json:"digest"` // hex SHA-256 of the text, or of the result
	Text      *string         `json:"text,omitempty"`
	Result    json.RawMessage `json:"result,omitempty"`
	Replayed  bool            `json:"replayed,omitempty"`
}

// newAnswerBody returns the body of an answer without its text or result.
func newAnswerBody(req task.Request, a exec.Answer) answerBody {
	sum := sha256.Sum256(bytes.Join(a.Chunks, nil))
	return answerBody{
		RequestID: req.Label,
		Pipeline:  req.Pipeline.Name,
		Preset:    req.Preset.Name,
		Revision:  req.Revision,
		Whole:     true,
		Count:     len(a.Chunks),
		Digest:    hex.EncodeToString(sum[:]),
		Replayed:  a.Replayed,
	}
}

// writeAnswer sends a complete answer that was not streamed.
func writeAnswer(w http.ResponseWriter, req task.Request, a exec.Answer) {
	WriteJSON(w, http.StatusOK, withContent(newAnswerBody(req, a), a))
}

// withContent adds the generated text or the result to b.
func withContent(b answerBody, a exec.Answer) answerBody {
	joined := bytes.Join(a.Chunks, nil)
	if a.Streamed {
		text := string(joined)
		b.Text = &text
		return b
	}
	b.Result = joined
	return b
}

// errorBody is the body of an error response, and the data of an error event.
type errorBody struct {
	RequestID string      `json:"requestId,omitempty"`
	Error     errorDetail `json:"error"`
}

// errorDetail is the field "error" of an errorBody.
type errorDetail struct {
	Verdict    fault.Verdict `json:"verdict"`
	Action     fault.Verdict `json:"actionVerdict,omitempty"`
	Code       fault.Code    `json:"code"`
	Message    string        `json:"message"`
	RetryAfter float64       `json:"retryAfter,omitempty"` // seconds
}

func newErrorBody(label string, f *exec.Failure) errorBody {
	return errorBody{RequestID: label, Error: errorDetail{
		Verdict:    f.Verdict,
		Action:     f.Action,
		Code:       f.Code,
		Message:    f.Message,
		RetryAfter: f.RetryAfter.Seconds(),
	}}
}

// WriteError sends an error response that belongs to no admitted request.
func WriteError(w http.ResponseWriter, err *fault.Error) {
	writeFailure(w, "", &exec.Failure{Error: err})
}

// writeFailure sends the error response of a failed request, with a Retry-After header if f has such a time.
func writeFailure(w http.ResponseWriter, label string, f *exec.Failure) {
	if f.RetryAfter > 0 {
		seconds := math.Ceil(f.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, status(f.Code), newErrorBody(label, f))
}

// writeTimeout is the timeout of one write, so that a caller that stops reading does not block the request.
const writeTimeout = 10 * time.Second

// WriteJSON sends v as JSON with the HTTP status code.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode the answer", http.StatusInternalServerError)
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(code)
	_, _ = w.Write(body) // a caller that disconnected will retry
}
