package trial

import (
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// outcome is the end of one request.
type outcome struct {
	arrived    float64 // seconds
	ended      float64
	firstToken float64 // seconds from arrival to the first token; negative without one
	sizeClass  string
	pipeline   string
	team       string
	whole      bool
	code       fault.Code
	notRun     bool
	work       map[string]float64 // seconds by pool, of the attempts whose results were used
}

// call is one call that reached an upstream.
type call struct {
	at           float64
	pool         string
	firstOfStage bool // first attempt of its stage
	crossZone    bool
}

// Result holds the figures of a run.
type Result struct {
	scenario     Scenario
	policy       Policy
	outcomes     []outcome
	intervals    []float64 // mean seconds between the tokens of a call
	calls        []call
	engineWork   float64 // seconds of work of all engines
	wasted       float64
	hedgeWork    float64
	hedges       int
	entryRefused int // requests refused before any call
	prefill      float64
}

func newResult(s Scenario, p Policy) *Result {
	return &Result{scenario: s, policy: p}
}

func (r *Result) recordCall(a *attempt, at float64) {
	r.calls = append(r.calls, call{at: at, pool: a.side.pool.Name, firstOfStage: a.firstOfStage,
		crossZone: a.side.zone != a.request.entry.zone})
}

func (r *Result) recordInterval(d time.Duration) { r.intervals = append(r.intervals, d.Seconds()) }

func (r *Result) recordOutcome(req *request, err *fault.Error) {
	o := outcome{
		arrived:    req.arrived.Sub(epoch).Seconds(),
		ended:      req.sim.loop.elapsed().Seconds(),
		firstToken: -1,
		sizeClass:  string(req.sizeClass()),
		team:       req.team,
		pipeline:   req.pipeline.Name,
		work:       req.work,
	}
	if req.entry.down {
		err = fault.New(fault.MayHaveRun, fault.Transport, "entry lost")
	}
	if !req.firstTokenAt.IsZero() {
		o.firstToken = req.firstTokenAt.Sub(req.arrived).Seconds()
	}
	o.whole = err == nil
	if err != nil {
		o.code = err.Code
		o.notRun = err.Verdict == fault.NotRun
	}
	r.outcomes = append(r.outcomes, o)
}

// RelativeTo compares a metric with that of a baseline: the ratio of both for prefill, else the difference.
func (r *Result) RelativeTo(base *Result, e Expect) float64 {
	if e.Metric == "prefill" {
		return r.Value(e) / base.Value(e)
	}
	return r.Value(e) - base.Value(e)
}

// Value returns the metric that an expectation names, over its window and filters. It panics on an unknown metric.
func (r *Result) Value(e Expect) float64 {
	outcomes := r.filter(e)
	switch e.Metric {
	case "attainment":
		return fraction(outcomes, func(o outcome) bool { return o.whole })
	case "goodput":
		return r.goodput(e)
	case "refusalSeconds":
		return longestRefusal(outcomes)
	case "callsPerRequest":
		return r.callsPerRequest(e)
	case "admittedOfShare":
		return r.admittedOfShare(e, outcomes)
	case "firstToken95":
		return quantile(firstTokenTimes(outcomes), 0.95)
	case "betweenTokens95":
		return quantile(slices.Clone(r.intervals), 0.95)
	case "hedgeCost":
		return r.hedgeWork / r.engineWork
	case "wasted":
		return r.wasted / r.engineWork
	case "farCalls":
		return r.farCalls(e)
	case "hedges":
		return float64(r.hedges)
	case "prefill":
		return r.prefill
	}
	panic("unknown metric " + e.Metric)
}

// Requests returns the number of requests that ended.
func (r *Result) Requests() int { return len(r.outcomes) }

// Codes returns the number of failed requests by code.
func (r *Result) Codes() map[fault.Code]int {
	codes := map[fault.Code]int{}
	for _, o := range r.outcomes {
		if !o.whole {
			codes[o.code]++
		}
	}
	return codes
}

func (r *Result) filter(e Expect) []outcome {
	var out []outcome
	for _, o := range r.outcomes {
		if o.arrived < e.From || (e.To > 0 && o.arrived >= e.To) {
			continue
		}
		if e.Class != "" && o.sizeClass != e.Class {
			continue
		}
		if e.Pipeline != "" && o.pipeline != e.Pipeline {
			continue
		}
		if !matchesTeam(e.Team, o.team) {
			continue
		}
		out = append(out, o)
	}
	return out
}

func matchesTeam(pattern, team string) bool {
	if other, ok := strings.CutPrefix(pattern, "!"); ok {
		return team != other
	}
	return pattern == "" || pattern == team
}

// goodput returns the work that a pool did for the complete answers of the window, as a fraction of its capacity.
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

// farCalls returns the fraction of a pool's calls that went to another zone.
func (r *Result) farCalls(e Expect) float64 {
	all, far := 0, 0
	for _, c := range r.calls {
		if e.Pool != "" && c.pool != e.Pool {
			continue
		}
		all++
		if c.crossZone {
			far++
		}
	}
	return float64(far) / float64(max(1, all))
}

// callsPerRequest returns the number of calls that reached a pool for each first attempt that did.
func (r *Result) callsPerRequest(e Expect) float64 {
	all, first := 0, 0
	for _, c := range r.calls {
		if c.pool != e.Pool || c.at < e.From || c.at >= e.To {
			continue
		}
		all++
		if c.firstOfStage {
			first++
		}
	}
	return float64(all) / float64(max(1, first))
}

func (r *Result) admittedOfShare(e Expect, outcomes []outcome) float64 {
	n := 0
	for _, o := range outcomes {
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

func firstTokenTimes(outcomes []outcome) []float64 {
	var out []float64
	for _, o := range outcomes {
		if o.firstToken >= 0 {
			out = append(out, o.firstToken)
		}
	}
	return out
}

func fraction(outcomes []outcome, match func(outcome) bool) float64 {
	if len(outcomes) == 0 {
		return 0
	}
	n := 0
	for _, o := range outcomes {
		if match(o) {
			n++
		}
	}
	return float64(n) / float64(len(outcomes))
}

// longestRefusal returns the longest time from arrival to the refusal of a request that did not run, in seconds.
func longestRefusal(outcomes []outcome) float64 {
	longest := 0.0
	for _, o := range outcomes {
		if o.notRun {
			longest = max(longest, o.ended-o.arrived)
		}
	}
	return longest
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
