package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	asyncLines   = 2048             // that wait for a slow reader; more are dropped
	sampleTick   = time.Second      // lines with the same message are counted over this time
	sampleFirst  = 400              // of them are written
	sampleEvery  = 100              // then one in this many
	reportDrops  = 10 * time.Second // between lines that say what was dropped
	flushTimeout = 200 * time.Millisecond
)

// Async is a logger that never waits for its reader, and bounds how many lines of a kind it writes.
type Async struct {
	*zap.Logger
	lines   chan []byte
	dropped atomic.Int64 // because the reader was slow
	sampled atomic.Int64 // because there were too many of a kind
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsync returns a logger of JSON lines to w; Close writes what is still to be written.
func NewAsync(w io.Writer, level string) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), stop: make(chan struct{}), done: make(chan struct{})}
	core := New(a, level).Core()
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				a.sampled.Add(1)
			}
		}))
	a.Logger = zap.New(core)
	go a.write(w)
	return a
}

// Write queues one line, or drops it when too many wait.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

func (a *Async) write(w io.Writer) {
	defer close(a.done)
	ticker := time.NewTicker(reportDrops)
	defer ticker.Stop()
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // nobody is left to be told
		case <-ticker.C:
			a.report()
		case <-a.stop:
			for len(a.lines) > 0 {
				_, _ = w.Write(<-a.lines)
			}
			return
		}
	}
}

// report says how many lines were dropped since the last report.
func (a *Async) report() {
	dropped, sampled := a.dropped.Swap(0), a.sampled.Swap(0)
	if dropped > 0 || sampled > 0 {
		a.Warn("log lines dropped", zap.Int64("slowReader", dropped), zap.Int64("tooMany", sampled))
	}
}

// Close writes the lines that wait, if the reader takes them soon.
func (a *Async) Close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
