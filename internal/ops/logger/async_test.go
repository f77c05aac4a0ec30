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

// stuckWriter takes nothing until it is opened.
type stuckWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func TestSlowReaderDelaysNobody(t *testing.T) {
	c := qt.New(t)
	w := &stuckWriter{open: make(chan struct{})}
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
		c.Fatal("logging waits for its reader")
	}
	close(w.open)
	l.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := strings.Count(w.got.String(), "\n")
	c.Check(lines > 0 && lines < 3000, qt.IsTrue, qt.Commentf("%d lines", lines))
}
