package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"time"
)

var errSilent = errors.New("no progress within the timeout")

// progressTimer cancels a call that makes no progress; the zero value never does.
type progressTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

// newProgressTimer starts a timer that calls cancel with errSilent; a timeout of 0 or less gives one that never does.
func newProgressTimer(timeout time.Duration, cancel context.CancelCauseFunc) *progressTimer {
	if timeout <= 0 {
		return &progressTimer{}
	}
	return &progressTimer{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(errSilent) })}
}

// reset restarts the timeout unless it has expired.
func (t *progressTimer) reset() {
	if t.timer != nil && t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

// stop ends the timer, so that it cancels nothing any more.
func (t *progressTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// progressReader resets its timer when it reads data.
type progressReader struct {
	source io.Reader
	timer  *progressTimer
}

// Read reads from the source.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.timer.reset()
	}
	return n, err
}
