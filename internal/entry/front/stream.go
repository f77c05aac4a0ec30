package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
)

// eventStream writes an answer as server-sent events; the headers are sent with the first event.
type eventStream struct {
	w       http.ResponseWriter
	ctl     *http.ResponseController
	req     task.Request
	now     func() time.Time
	firstAt time.Time // when the headers were sent
	started bool
}

func newEventStream(w http.ResponseWriter, req task.Request, now func() time.Time) *eventStream {
	return &eventStream{w: w, ctl: http.NewResponseController(w), req: req, now: now}
}

// hasStarted reports whether the headers have been sent, so that the HTTP status can no longer change.
func (s *eventStream) hasStarted() bool { return s != nil && s.started }

// tokenEvent is one token; a token that is not valid UTF-8 by itself is sent as base64.
type tokenEvent struct {
	Index  uint64 `json:"index"`
	Text   string `json:"text,omitempty"`
	Base64 []byte `json:"base64,omitempty"`
}

// Token sends one token.
func (s *eventStream) Token(index uint64, data []byte) error {
	e := tokenEvent{Index: index, Text: string(data)}
	if !utf8.Valid(data) {
		e = tokenEvent{Index: index, Base64: data}
	}
	return s.send("token", e)
}

// finish sends the last event of a complete answer.
func (s *eventStream) finish(a exec.Answer) {
	b := newAnswerBody(s.req, a)
	if !a.Streamed {
		b = withContent(b, a)
	}
	_ = s.send("whole", b) // a caller that disconnected will retry
}

// fail sends the last event of an incomplete answer.
func (s *eventStream) fail(f *exec.Failure) {
	_ = s.send("error", newErrorBody(s.req.Label, f))
}

// send writes one event and flushes it.
func (s *eventStream) send(event string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.start()
	_ = s.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return err
	}
	return s.ctl.Flush()
}

// start sends the headers once.
func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.firstAt = s.now()
	h := s.w.Header()
	h.Set("Content-Type", eventStreamType)
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}
