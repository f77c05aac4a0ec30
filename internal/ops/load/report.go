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
	minLatency   = int64(time.Microsecond)
	maxLatency   = int64(10 * time.Minute)
	digits       = 3
	notAnswered  = "noAnswer"
	skippedCause = "skipped"
)

// Report is what a run measured.
type Report struct {
	Seconds    float64 `json:"seconds"`
	Rate       float64 `json:"rate"` // requests a second, as sent
	Total      Line    `json:"total"`
	ByPipeline []Line  `json:"byPipeline"`
}

// Line is one pipeline, or all of them.
type Line struct {
	Pipeline string `json:"pipeline"`
	Requests int    `json:"requests"`
	Attained int    `json:"attained"` // whole within the deadline
	Late     int    `json:"late"`     // whole after it
	// Attainment is the share of requests answered whole within their deadline, from 0 to 1.
	Attainment float64        `json:"attainment"`
	Failed     map[string]int `json:"failed"` // by code
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

type results struct {
	mu    sync.Mutex
	lines map[string]*line
	total *line
}

type line struct {
	Line
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newLine(pipeline string) *line {
	return &line{
		Line:       Line{Pipeline: pipeline, Failed: map[string]int{}},
		latency:    hdrhistogram.New(minLatency, maxLatency, digits),
		firstToken: hdrhistogram.New(minLatency, maxLatency, digits),
	}
}

func newResults() *results {
	return &results{lines: map[string]*line{}, total: newLine("total")}
}

func (r *results) each(p Part, f func(*line)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.lines[p.Pipeline]
	if !ok {
		l = newLine(p.Pipeline)
		r.lines[p.Pipeline] = l
	}
	f(l)
	f(r.total)
}

func (r *results) skip(p Part) {
	r.each(p, func(l *line) {
		l.Requests++
		l.Failed[skippedCause]++
	})
}

func (r *results) add(p Part, a caller.Answer, took time.Duration) {
	r.each(p, func(l *line) {
		l.Requests++
		switch {
		case !a.Whole:
			l.Failed[cause(a)]++
			return
		case p.Deadline > 0 && took > p.Deadline:
			l.Late++
		default:
			l.Attained++
		}
		_ = l.latency.RecordValue(min(int64(took), maxLatency))
		if a.FirstToken > 0 {
			_ = l.firstToken.RecordValue(min(int64(a.FirstToken), maxLatency))
		}
	})
}

func cause(a caller.Answer) string {
	if a.Code == "" {
		return notAnswered
	}
	return string(a.Code)
}

func (r *results) report(took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Seconds: took.Seconds(), Total: r.total.finish()}
	out.Rate = float64(out.Total.Requests) / took.Seconds()
	for _, name := range slices.Sorted(maps.Keys(r.lines)) {
		out.ByPipeline = append(out.ByPipeline, r.lines[name].finish())
	}
	return out
}

func (l *line) finish() Line {
	l.Latency, l.FirstToken = quantiles(l.latency), quantiles(l.firstToken)
	if l.Requests > 0 {
		l.Attainment = float64(l.Attained) / float64(l.Requests)
	}
	return l.Line
}

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

// String renders the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %.1f s\n\n", r.Total.Requests, r.Seconds)
	fmt.Fprintf(&b, "%-14s %8s %10s %6s %9s %9s %9s %9s  %s\n",
		"pipeline", "requests", "attainment", "late", "p50 ms", "p95 ms", "p99 ms", "token p95", "failed")
	for _, l := range append(r.ByPipeline, r.Total) {
		fmt.Fprintf(&b, "%-14s %8d %9.2f%% %6d %9.1f %9.1f %9.1f %9.1f  %s\n", l.Pipeline, l.Requests,
			100*l.Attainment, l.Late, l.Latency.P50, l.Latency.P95, l.Latency.P99, l.FirstToken.P95, failures(l.Failed))
	}
	return b.String()
}

func failures(failed map[string]int) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(failed)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, failed[code]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}
