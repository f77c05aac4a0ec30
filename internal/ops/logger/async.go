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
	maxQueuedLines = 2048                   // lines that wait for a slow reader; more are dropped
	samplePeriod   = time.Second            // period over which lines with the same message are counted
	sampleFirst    = 400                    // lines with the same message that are written in a period
	sampleEvery    = 100                    // of the further ones, one in this many is written
	reportInterval = 10 * time.Second       // interval between reports of dropped lines
	flushTimeout   = 200 * time.Millisecond // longest wait of Close
)

// Async is a logger that never blocks on the reader of its output, and that samples lines with the same message.
type Async struct {
	*zap.Logger
	lines   chan []byte
	dropped atomic.Int64 // lines dropped because the queue was full
	sampled atomic.Int64 // lines dropped by sampling
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewAsync returns a logger that writes JSON lines to w in the background until Close; an unknown level means info.
func NewAsync(w io.Writer, level string) *Async {
	a := &Async{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	core := New(a, level).Core()
	core = zapcore.NewSamplerWithOptions(core, samplePeriod, sampleFirst, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				a.sampled.Add(1)
			}
		}))
	a.Logger = zap.New(core)
	go a.writeLoop(w)
	return a
}

// Write queues one line, or drops it if the queue is full. It never fails.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// writeLoop writes the queued lines to w until the logger is closed.
func (a *Async) writeLoop(w io.Writer) {
	defer close(a.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is no other place to report an error
		case <-ticker.C:
			a.reportDropped()
		case <-a.stop:
			for len(a.lines) > 0 {
				_, _ = w.Write(<-a.lines)
			}
			return
		}
	}
}

// reportDropped logs how many lines were dropped since the last report.
func (a *Async) reportDropped() {
	dropped, sampled := a.dropped.Swap(0), a.sampled.Swap(0)
	if dropped > 0 || sampled > 0 {
		a.Warn("log lines dropped", zap.Int64("slowReader", dropped), zap.Int64("tooMany", sampled))
	}
}

// Close writes the queued lines, but waits no longer than flushTimeout for the reader.
func (a *Async) Close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
