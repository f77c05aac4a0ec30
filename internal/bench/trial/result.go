package trial

import (
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// outcome is how one request ended.
type outcome struct {
	arrived  float64 // seconds
	ended    float64
	first    float64 // seconds until the first token; negative without one
	class    string
	pipeline string
	team     string
	whole    bool
	code     fault.Code
	notRun   bool
	work     map[string]float64 // seconds by pool, of the attempts that the answer is made of
}

// call is one call that reached an upstream.
type call struct {
	at    float64
	pool  string
	first bool // of its request in that stage
	far   bool // to another zone
}

// Result is what a run counted.
type Result struct {
	scenario     Scenario
	policy       Policy
	outcomes     []outcome
	intervals    []float64 // mean seconds between the tokens of an answer
	calls        []call
	work         float64 // seconds of all engines
	wasted       float64
	hedged       float64
	hedges       int
	entryRefused int // requests refused before any call
	prefill      float64
}

func newResult(s Scenario, p Policy) *Result {
	return &Result{scenario: s, policy: p}
}

func (r *Result) called(a *attempt, at float64) {
	r.calls = append(r.calls, call{at: at, pool: a.side.pool.Name, first: a.first, far: a.side.zone != a.req.entry.zone})
}

func (r *Result) interval(d time.Duration) { r.intervals = append(r.intervals, d.Seconds()) }

func (r *Result) ended(q *request, err *fault.Error) {
	o := outcome{
		arrived:  q.arrived.Sub(epoch).Seconds(),
		ended:    q.w.loop.since().Seconds(),
		first:    -1,
		class:    string(q.class()),
		team:     q.team,
		pipeline: q.line.Name,
		work:     q.work,
	}
	if q.entry.down {
		err = fault.New(fault.MayHaveRun, fault.Transport, "entry lost")
	}
	if !q.first.IsZero() {
		o.first = q.first.Sub(q.arrived).Seconds()
	}
	o.whole = err == nil
	if err != nil {
		o.code = err.Code
		o.notRun = err.Verdict == fault.NotRun
	}
	r.outcomes = append(r.outcomes, o)
}

// Over returns a metric against that of a baseline: a ratio for prefill, a difference for attainment.
func (r *Result) Over(base *Result, e Expect) float64 {
	if e.Metric == "prefill" {
		return r.Value(e) / base.Value(e)
	}
	return r.Value(e) - base.Value(e)
}

// Value returns a metric as an expectation describes it.
func (r *Result) Value(e Expect) float64 {
	picked := r.pick(e)
	switch e.Metric {
	case "attainment":
		return part(picked, func(o outcome) bool { return o.whole })
	case "goodput":
		return r.goodput(e)
	case "refusalSeconds":
		return longest(picked)
	case "callsPerRequest":
		return r.callsPerRequest(e)
	case "admittedOfShare":
		return r.admittedOfShare(e, picked)
	case "firstToken95":
		return quantile(firsts(picked), 0.95)
	case "betweenTokens95":
		return quantile(slices.Clone(r.intervals), 0.95)
	case "hedgeCost":
		return r.hedged / r.work
	case "wasted":
		return r.wasted / r.work
	case "farCalls":
		return r.farCalls(e)
	case "hedges":
		return float64(r.hedges)
	case "prefill":
		return r.prefill
	}
	panic("unknown metric " + e.Metric)
}

// Requests is the number of requests that ended.
func (r *Result) Requests() int { return len(r.outcomes) }

// Codes counts the failures by code.
func (r *Result) Codes() map[fault.Code]int {
	codes := map[fault.Code]int{}
	for _, o := range r.outcomes {
		if !o.whole {
			codes[o.code]++
		}
	}
	return codes
}

func (r *Result) pick(e Expect) []outcome {
	var out []outcome
	for _, o := range r.outcomes {
		if o.arrived < e.From || (e.To > 0 && o.arrived >= e.To) {
			continue
		}
		if e.Class != "" && o.class != e.Class {
			continue
		}
		if e.Pipeline != "" && o.pipeline != e.Pipeline {
			continue
		}
		if !teamFits(e.Team, o.team) {
			continue
		}
		out = append(out, o)
	}
	return out
}

func teamFits(want, team string) bool {
	if other, ok := strings.CutPrefix(want, "!"); ok {
		return team != other
	}
	return want == "" || want == team
}

// goodput is the work of a pool in whole answers given in the window, in parts of what the pool can do.
func (r *Result) goodput(e Expect) float64 {
	work := 0.0
	for _, o := range r.outcomes {
		if o.whole && o.ended >= e.From && o.ended < e.To {
			work += o.work[e.Pool]
		}
	}
	p := r.scenario.pool(e.Pool)
	return work / (e.To - e.From) / float64(p.Runners*p.Slots)
}

// farCalls is the part of a pool's calls that left their zone.
func (r *Result) farCalls(e Expect) float64 {
	all, far := 0, 0
	for _, c := range r.calls {
		if e.Pool != "" && c.pool != e.Pool {
			continue
		}
		all++
		if c.far {
			far++
		}
	}
	return float64(far) / float64(max(1, all))
}

// callsPerRequest is the number of calls that reached a pool for each request that did.
func (r *Result) callsPerRequest(e Expect) float64 {
	all, first := 0, 0
	for _, c := range r.calls {
		if c.pool != e.Pool || c.at < e.From || c.at >= e.To {
			continue
		}
		all++
		if c.first {
			first++
		}
	}
	return float64(all) / float64(max(1, first))
}

func (r *Result) admittedOfShare(e Expect, picked []outcome) float64 {
	n := 0
	for _, o := range picked {
		if o.code != fault.OverLimit {
			n++
		}
	}
	for _, t := range r.scenario.Teams {
		if t.Name == e.Team {
			return float64(n) / (e.To - e.From) / (t.Share * r.scenario.Capacity())
		}
	}
	panic("unknown team " + e.Team)
}

func firsts(picked []outcome) []float64 {
	var out []float64
	for _, o := range picked {
		if o.first >= 0 {
			out = append(out, o.first)
		}
	}
	return out
}

func part(picked []outcome, fits func(outcome) bool) float64 {
	if len(picked) == 0 {
		return 0
	}
	n := 0
	for _, o := range picked {
		if fits(o) {
			n++
		}
	}
	return float64(n) / float64(len(picked))
}

// longest is the longest time until a refusal of a request that did not run, in seconds.
func longest(picked []outcome) float64 {
	worst := 0.0
	for _, o := range picked {
		if o.notRun {
			worst = max(worst, o.ended-o.arrived)
		}
	}
	return worst
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
