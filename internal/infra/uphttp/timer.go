package uphttp

import (
	"context"
	"errors"
	"io"
	"time"
)

var errSilent = errors.New("no progress within the bound")

// watch cancels a call that makes no progress.
type watch struct {
	bound time.Duration
	timer *time.Timer
}

func newWatch(bound time.Duration, cancel context.CancelCauseFunc) *watch {
	if bound <= 0 {
		return &watch{}
	}
	return &watch{bound: bound, timer: time.AfterFunc(bound, func() { cancel(errSilent) })}
}

// progress starts the bound anew unless it has passed.
func (w *watch) progress() {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.bound)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// progressReader counts each read as progress.
type progressReader struct {
	from  io.Reader
	watch *watch
}

// Read reads from the source.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.watch.progress()
	}
	return n, err
}
