package sketch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	resolution        = 100 * time.Microsecond // unit of the recorded latencies
	maxLatency        = 120 * time.Second      // longer ones count as this
	significantDigits = 1                      // of the histogram
	defaultWindow     = time.Minute
	refreshInterval   = 500 * time.Millisecond // least time between refreshes of an estimate
	refreshDivisor    = 10                     // an estimate is refreshed after a tenth more samples
	minSamples        = 20                     // below which there is no estimate
)

// Key identifies a distribution.
type Key struct {
	Pipeline  string // empty when pipelines share the stage's distribution
	Stage     string
	SizeClass pipe.SizeClass
}

// Estimate holds quantiles of the recent latencies of a stage.
type Estimate struct {
	Median  time.Duration
	P95     time.Duration
	P99     time.Duration
	Samples int64
}

// sketch holds the latencies of the current and the previous window.
type sketch struct {
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowStart time.Time
	estimate    Estimate
	refreshed   time.Time
	added       int64 // samples since the refresh
}

// Set holds the latency distributions of all stages; it is safe for concurrent use.
type Set struct {
	window time.Duration
	mu     sync.Mutex
	byKey  map[Key]*sketch
	merged *hdrhistogram.Histogram // scratch space for refresh
}

// New returns an empty set that drops latencies after one to two windows; a window of 0 means 1 min.
func New(window time.Duration) *Set {
	if window <= 0 {
		window = defaultWindow
	}
	return &Set{window: window, byKey: map[Key]*sketch{}, merged: newHistogram()}
}

// Add records the latency of a successful call.
func (s *Set) Add(k Key, latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byKey[k]
	if h == nil {
		h = &sketch{current: newHistogram(), previous: newHistogram(), windowStart: now}
		s.byKey[k] = h
	}
	h.rotate(now, s.window)
	ticks := min(int64(latency/resolution), int64(maxLatency/resolution))
	_ = h.current.RecordValue(max(1, ticks))
	h.added++
}

// Estimate returns the estimate of a stage; false with fewer than 20 samples.
func (s *Set) Estimate(k Key, now time.Time) (Estimate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byKey[k]
	if h == nil {
		return Estimate{}, false
	}
	if h.stale(now) {
		h.refresh(s.merged, now)
	}
	return h.estimate, h.estimate.Samples >= minSamples
}

// Forget drops the distributions of stages that are no longer declared.
func (s *Set) Forget(declared func(Key) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.byKey {
		if !declared(k) {
			delete(s.byKey, k)
		}
	}
}

// Bytes returns the memory size of the distributions, in bytes.
func (s *Set) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.byKey {
		n += h.current.ByteSize() + h.previous.ByteSize()
	}
	return n
}

// rotate starts a new window once the current one is over.
func (h *sketch) rotate(now time.Time, window time.Duration) {
	if now.Sub(h.windowStart) < window {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	h.windowStart = now
}

// stale reports whether the estimate lacks so many samples that it is due for a refresh.
func (h *sketch) stale(now time.Time) bool {
	few := h.estimate.Samples < minSamples
	return h.added > h.estimate.Samples/refreshDivisor && (few || now.Sub(h.refreshed) >= refreshInterval)
}

// refresh computes the estimate from both windows.
func (h *sketch) refresh(merged *hdrhistogram.Histogram, now time.Time) {
	merged.Reset()
	merged.Merge(h.previous)
	merged.Merge(h.current)
	h.estimate = Estimate{
		Median:  resolution * time.Duration(merged.ValueAtQuantile(50)),
		P95:     resolution * time.Duration(merged.ValueAtQuantile(95)),
		P99:     resolution * time.Duration(merged.ValueAtQuantile(99)),
		Samples: merged.TotalCount(),
	}
	h.refreshed = now
	h.added = 0
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/resolution), significantDigits)
}
