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

// wholeBody is the body of a whole answer, and the data of the last event of a stream.
type wholeBody struct {
	RequestID string          `json:"requestId"`
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

func newWhole(req task.Request, a exec.Answer) wholeBody {
	sum := sha256.Sum256(bytes.Join(a.Chunks, nil))
	return wholeBody{
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

func writeAnswer(w http.ResponseWriter, req task.Request, a exec.Answer) {
	WriteJSON(w, http.StatusOK, withContent(newWhole(req, a), a))
}

func withContent(b wholeBody, a exec.Answer) wholeBody {
	joined := bytes.Join(a.Chunks, nil)
	if a.Streamed {
		text := string(joined)
		b.Text = &text
		return b
	}
	b.Result = joined
	return b
}

// errorBody is the body of an error.
type errorBody struct {
	RequestID string      `json:"requestId,omitempty"`
	Error     errorDetail `json:"error"`
}

type errorDetail struct {
	Verdict    fault.Verdict `json:"verdict"`
	Action     fault.Verdict `json:"actionVerdict,omitempty"`
	Code       fault.Code    `json:"code"`
	Message    string        `json:"message"`
	RetryAfter float64       `json:"retryAfter,omitempty"` // seconds
}

func newError(label string, f *exec.Failure) errorBody {
	return errorBody{RequestID: label, Error: errorDetail{
		Verdict:    f.Verdict,
		Action:     f.Action,
		Code:       f.Code,
		Message:    f.Message,
		RetryAfter: f.RetryAfter.Seconds(),
	}}
}

// WriteError answers with an error outside of a request.
func WriteError(w http.ResponseWriter, err *fault.Error) {
	writeFailure(w, "", &exec.Failure{Error: err})
}

func writeFailure(w http.ResponseWriter, label string, f *exec.Failure) {
	if f.RetryAfter > 0 {
		seconds := math.Ceil(f.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	WriteJSON(w, status(f.Code), newError(label, f))
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 10 * time.Second

// WriteJSON answers with v as JSON.
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
	_, _ = w.Write(body) // a caller that went away asks again
}
