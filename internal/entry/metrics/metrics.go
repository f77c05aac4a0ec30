package metrics

import (
	"strconv"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// outcome is the label value for the result of a request: attained, late or the verdict of a failure.
type outcome string

const (
	attained outcome = "attained" // complete within the deadline
	late     outcome = "late"     // complete after the deadline
)

// Label values for the reason of an attempt.
const (
	reasonFirst = "first"
	reasonRetry = "retry"
	reasonHedge = "hedge"
)

// Metrics holds the request and attempt metrics of one entry.
type Metrics struct {
	requests   meter.Counter
	teams      meter.Counter
	duration   meter.Histogram
	firstToken meter.Histogram
	attempts   meter.Counter
	runnerMs   meter.Counter
	tokens     meter.Counter
	prefill    meter.Counter
	cached     meter.Counter
	clients    meter.Counter
}

// New creates the instruments.
func New(m *meter.Meter) *Metrics {
	buckets := []float64{5, 10, 25, 50, 100, 250, 500, 1000, 1700, 2500, 5000, 8000, 11000, 20000}
	return &Metrics{
		requests: m.Counter(meter.Spec{Name: "requests", Unit: "{request}",
			Help: "Finished requests by outcome: attained, late, or the verdict of a failure."}),
		teams: m.Counter(meter.Spec{Name: "teamRequests", Unit: "{request}",
			Help: "Finished requests by team, and whether they were answered whole within their deadline."}),
		duration: m.Histogram(meter.Spec{Name: "requestDuration", Unit: "ms",
			Help: "Time from a request's arrival to the end of its answer."}, buckets...),
		firstToken: m.Histogram(meter.Spec{Name: "firstToken", Unit: "ms",
			Help: "Time from a request's arrival to its first token."}, buckets...),
		attempts: m.Counter(meter.Spec{Name: "stageAttempts", Unit: "{attempt}",
			Help: "Attempts that may have run, by stage and reason, and whether the result was wasted."}),
		runnerMs: m.Counter(meter.Spec{Name: "stageRunnerTime", Unit: "ms",
			Help: "Time on upstreams."}),
		tokens: m.Counter(meter.Spec{Name: "stageTokens", Unit: "{token}",
			Help: "Tokens generated."}),
		prefill: m.Counter(meter.Spec{Name: "stagePrefillTokens", Unit: "{token}",
			Help: "Prompt tokens computed."}),
		cached: m.Counter(meter.Spec{Name: "stageCachedTokens", Unit: "{token}",
			Help: "Prompt tokens found in a prefix cache."}),
		clients: m.Counter(meter.Spec{Name: "refusedClients", Unit: "{client}",
			Help: "Requests refused and connections closed to bound memory, by reason."}),
	}
}

// ClientRefused counts a request that was refused, or a connection that was closed, to bound the memory of clients.
func (c *Metrics) ClientRefused(reason string) {
	c.clients.Add(1, meter.Label{Name: "reason", Value: reason})
}

// Finished records a finished request.
func (c *Metrics) Finished(r front.Record) {
	result := outcomeOf(r)
	pipeline := meter.Label{Name: "pipeline", Value: r.Pipeline}
	c.requests.Add(1, pipeline, meter.Label{Name: "preset", Value: r.Preset},
		meter.Label{Name: "outcome", Value: string(result)}, meter.Label{Name: "code", Value: string(r.Code)})
	c.teams.Add(1, meter.Label{Name: "team", Value: r.Team},
		meter.Label{Name: "attained", Value: strconv.FormatBool(result == attained)})
	c.duration.Record(millis(r.Took), pipeline)
	if r.FirstToken > 0 {
		c.firstToken.Record(millis(r.FirstToken), pipeline)
	}
}

// CountAttempt records the cost of one attempt.
func (c *Metrics) CountAttempt(_ task.Request, cost exec.Cost) {
	labels := []meter.Label{
		{Name: "stage", Value: cost.Stage},
		{Name: "reason", Value: reasonOf(cost)},
		{Name: "wasted", Value: strconv.FormatBool(cost.Wasted)},
	}
	c.attempts.Add(1, labels...)
	c.runnerMs.Add(cost.RunnerMs, labels...)
	if cost.Kind != stage.Generate {
		return
	}
	c.tokens.Add(int64(cost.Tokens), labels...)
	c.prefill.Add(int64(cost.PrefillTokens), labels...)
	c.cached.Add(int64(cost.CachedTokens), labels...)
}

// outcomeOf returns the verdict of a failed request, otherwise whether it completed before its deadline.
func outcomeOf(r front.Record) outcome {
	switch {
	case r.Code != "":
		return outcome(r.Verdict)
	case r.Late:
		return late
	default:
		return attained
	}
}

// reasonOf returns the label value for why an attempt was made.
func reasonOf(c exec.Cost) string {
	switch {
	case c.Hedge:
		return reasonHedge
	case c.Retry:
		return reasonRetry
	default:
		return reasonFirst
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
