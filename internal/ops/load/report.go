package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

const (
	minLatencyNanos   = int64(time.Microsecond)
	maxLatencyNanos   = int64(10 * time.Minute)
	significantDigits = 3
	noAnswerCode      = "noAnswer" // in Stats.Failed: no complete answer and no error code
	skippedCode       = "skipped"  // in Stats.Failed: not sent, as maxInFlight were in flight
)

// Report holds the measurements of a run.
type Report struct {
	Seconds    float64 `json:"seconds"`
	Rate       float64 `json:"rate"` // requests a second, including skipped ones
	Total      Stats   `json:"total"`
	ByPipeline []Stats `json:"byPipeline"`
}

// Stats holds the measurements of one pipeline or of all.
type Stats struct {
	Pipeline string `json:"pipeline"`
	Requests int    `json:"requests"`
	Attained int    `json:"attained"` // complete answers within the deadline
	Late     int    `json:"late"`     // complete answers after it
	// Attainment is the share of requests that were answered completely within their deadline, from 0 to 1.
	Attainment float64        `json:"attainment"`
	Failed     map[string]int `json:"failed"` // count by error code
	Latency    Latency        `json:"latencyMs"`
	FirstToken Latency        `json:"firstTokenMs"`
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// results collects the measurements of a run.
type results struct {
	mu         sync.Mutex
	byPipeline map[string]*statsRecorder
	total      *statsRecorder
}

// statsRecorder accumulates the measurements of one pipeline or of all; latencies are in nanoseconds.
type statsRecorder struct {
	Stats
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// newStatsRecorder returns a recorder without measurements; pipeline is the name in its Stats.
func newStatsRecorder(pipeline string) *statsRecorder {
	return &statsRecorder{
		Stats:      Stats{Pipeline: pipeline, Failed: map[string]int{}},
		latency:    hdrhistogram.New(minLatencyNanos, maxLatencyNanos, significantDigits),
		firstToken: hdrhistogram.New(minLatencyNanos, maxLatencyNanos, significantDigits),
	}
}

func newResults() *results {
	return &results{byPipeline: map[string]*statsRecorder{}, total: newStatsRecorder("total")}
}

// update applies f to the measurements of a pipeline and to the total.
func (r *results) update(p Part, f func(*statsRecorder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byPipeline[p.Pipeline]
	if !ok {
		s = newStatsRecorder(p.Pipeline)
		r.byPipeline[p.Pipeline] = s
	}
	f(s)
	f(r.total)
}

// addSkipped counts a request that was not sent because too many were in flight.
func (r *results) addSkipped(p Part) {
	r.update(p, func(s *statsRecorder) {
		s.Requests++
		s.Failed[skippedCode]++
	})
}

// addAnswer counts a request that was sent; took is the time from when it was due to the end of its answer.
func (r *results) addAnswer(p Part, a caller.Answer, took time.Duration) {
	r.update(p, func(s *statsRecorder) {
		s.Requests++
		switch {
		case !a.Whole:
			s.Failed[failureCode(a)]++
			return
		case p.Deadline > 0 && took > p.Deadline:
			s.Late++
		default:
			s.Attained++
		}
		_ = s.latency.RecordValue(min(int64(took), maxLatencyNanos))
		if a.FirstToken > 0 {
			_ = s.firstToken.RecordValue(min(int64(a.FirstToken), maxLatencyNanos))
		}
	})
}

// failureCode returns the key of a failed request in Stats.Failed.
func failureCode(a caller.Answer) string {
	if a.Code == "" {
		return noAnswerCode
	}
	return string(a.Code)
}

// report returns the measurements of a run that lasted for took, with the pipelines sorted by name.
func (r *results) report(took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Seconds: took.Seconds(), Total: r.total.summarize()}
	out.Rate = float64(out.Total.Requests) / took.Seconds()
	for _, name := range slices.Sorted(maps.Keys(r.byPipeline)) {
		out.ByPipeline = append(out.ByPipeline, r.byPipeline[name].summarize())
	}
	return out
}

// summarize computes the quantiles and the attainment.
func (s *statsRecorder) summarize() Stats {
	s.Latency, s.FirstToken = quantiles(s.latency), quantiles(s.firstToken)
	if s.Requests > 0 {
		s.Attainment = float64(s.Attained) / float64(s.Requests)
	}
	return s.Stats
}

// quantiles returns the quantiles of a histogram of nanoseconds, all 0 if it is empty.
func quantiles(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	ms := func(v int64) float64 { return float64(v) / float64(time.Millisecond) }
	return Latency{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}

// String formats the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %.1f s\n\n", r.Total.Requests, r.Seconds)
	fmt.Fprintf(&b, "%-14s %8s %10s %6s %9s %9s %9s %9s  %s\n",
		"pipeline", "requests", "attainment", "late", "p50 ms", "p95 ms", "p99 ms", "token p95", "failed")
	for _, s := range append(r.ByPipeline, r.Total) {
		fmt.Fprintf(&b, "%-14s %8d %9.2f%% %6d %9.1f %9.1f %9.1f %9.1f  %s\n", s.Pipeline, s.Requests,
			100*s.Attainment, s.Late, s.Latency.P50, s.Latency.P95, s.Latency.P99, s.FirstToken.P95, formatFailures(s.Failed))
	}
	return b.String()
}

// formatFailures formats the counts as code=count, sorted by code.
func formatFailures(failed map[string]int) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(failed)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, failed[code]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}
