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

// silentCaller is a connection whose other end takes some writes and then reads no more.
type silentCaller struct {
	*httptest.ResponseRecorder
	takes     int
	deadlines []time.Time
}

func (w *silentCaller) SetWriteDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	return nil
}

func (w *silentCaller) Write(p []byte) (int, error) {
	if w.takes == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	w.takes--
	return w.ResponseRecorder.Write(p)
}

// TestSilentCaller checks that each event has a write deadline of its own, and that a caller which reads no more
// ends the stream with an error, which stops the work behind it.
func TestSilentCaller(t *testing.T) {
	c := qt.New(t)
	w := &silentCaller{ResponseRecorder: httptest.NewRecorder(), takes: 2}
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
