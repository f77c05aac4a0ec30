package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

// blockingWriter blocks all writes until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	output  bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

// Guards against log calls that wait for the reader: while it is blocked, lines over the queue's size must be dropped.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{release: make(chan struct{})}
	l := logger.NewAsync(w, "info")
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			l.Info("decision")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		c.Fatal("log calls wait for the reader")
	}
	close(w.release)
	l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := strings.Count(w.output.String(), "\n")
	c.Check(lines > 0 && lines < 3000, qt.IsTrue, qt.Commentf("%d lines", lines))
}
