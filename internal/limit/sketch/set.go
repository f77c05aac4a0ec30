package sketch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	resolution    = 100 * time.Microsecond
	longest       = 120 * time.Second
	digits        = 1
	defaultWindow = time.Minute
	refreshEvery  = 500 * time.Millisecond
	refreshPart   = 10 // an estimate is renewed once a tenth more samples came
	minSamples    = 20
)

// Key names a distribution.
type Key struct {
	Pipeline  string // empty when pipelines share the stage's distribution
	Stage     string
	SizeClass pipe.SizeClass
}

// Estimate is what the recent latencies of a stage say.
type Estimate struct {
	Median  time.Duration
	P95     time.Duration
	P99     time.Duration
	Samples int64
}

// sketch covers the present window and the one before.
type sketch struct {
	present   *hdrhistogram.Histogram
	before    *hdrhistogram.Histogram
	begun     time.Time
	estimate  Estimate
	refreshed time.Time
	added     int64 // samples since then
}

// Set holds the distributions; it is safe for concurrent use.
type Set struct {
	window time.Duration
	mu     sync.Mutex
	byKey  map[Key]*sketch
	merged *hdrhistogram.Histogram // scratch
}

// New returns an empty set that forgets latencies after one to two windows; 0 means 1 min.
func New(window time.Duration) *Set {
	if window <= 0 {
		window = defaultWindow
	}
	return &Set{window: window, byKey: map[Key]*sketch{}, merged: newHistogram()}
}

// Add notes the latency of a call that ended well.
func (s *Set) Add(k Key, latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byKey[k]
	if h == nil {
		h = &sketch{present: newHistogram(), before: newHistogram(), begun: now}
		s.byKey[k] = h
	}
	h.rotate(now, s.window)
	ticks := min(int64(latency/resolution), int64(longest/resolution))
	_ = h.present.RecordValue(max(1, ticks))
	h.added++
}

// Estimate returns what is known of a stage; false when nothing is, or too little.
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

// Bytes is the memory that the distributions take.
func (s *Set) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.byKey {
		n += h.present.ByteSize() + h.before.ByteSize()
	}
	return n
}

func (h *sketch) rotate(now time.Time, window time.Duration) {
	if now.Sub(h.begun) < window {
		return
	}
	h.present, h.before = h.before, h.present
	h.present.Reset()
	h.begun = now
}

func (h *sketch) stale(now time.Time) bool {
	few := h.estimate.Samples < minSamples
	return h.added > h.estimate.Samples/refreshPart && (few || now.Sub(h.refreshed) >= refreshEvery)
}

func (h *sketch) refresh(all *hdrhistogram.Histogram, now time.Time) {
	all.Reset()
	all.Merge(h.before)
	all.Merge(h.present)
	h.estimate = Estimate{
		Median:  resolution * time.Duration(all.ValueAtQuantile(50)),
		P95:     resolution * time.Duration(all.ValueAtQuantile(95)),
		P99:     resolution * time.Duration(all.ValueAtQuantile(99)),
		Samples: all.TotalCount(),
	}
	h.refreshed = now
	h.added = 0
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/resolution), digits)
}
