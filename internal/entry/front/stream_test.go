package front

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
)

// stalledWriter is a connection whose peer stops reading after some writes.
type stalledWriter struct {
	*httptest.ResponseRecorder
	remaining int
	deadlines []time.Time
}

func (w *stalledWriter) SetWriteDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	return nil
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	if w.remaining == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	w.remaining--
	return w.ResponseRecorder.Write(p)
}

// TestStalledCaller checks that each event has its own write deadline, and that Token returns an error once the caller
// stops reading, which cancels the request.
func TestStalledCaller(t *testing.T) {
	c := qt.New(t)
	w := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), remaining: 2}
	s := newEventStream(w, task.Request{}, time.Now)
	before := time.Now()
	c.Assert(s.Token(0, []byte("a")), qt.IsNil)
	c.Assert(s.Token(1, []byte("b")), qt.IsNil)
	c.Check(s.Token(2, []byte("c")), qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Assert(w.deadlines, qt.HasLen, 3)
	for _, d := range w.deadlines {
		c.Check(d.Before(before.Add(writeTimeout)), qt.IsFalse)
	}
	c.Check(w.Code, qt.Equals, http.StatusOK)
}
