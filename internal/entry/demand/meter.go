package demand

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// halfLife is the time in which the weight of a request in the sums halves.
const halfLife = time.Minute

// usageKey identifies the generations that are counted together.
type usageKey struct {
	pipeline string
	model    string
}

// usage holds exponentially decaying sums. Divided by the mean lifetime of a request, halfLife / ln 2, they are rates.
type usage struct {
	requests      float64
	runnerSeconds float64   // time on whole runners
	updatedAt     time.Time // when the sums last decayed
}

// Meter counts generations by pipeline and model; it is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	usages map[usageKey]*usage
}

// New returns an empty meter.
func New() *Meter { return &Meter{usages: map[usageKey]*usage{}} }

// Count adds one generation; busy is its time on a runner divided by the number of calls that share the runner.
func (m *Meter) Count(pipeline, model string, busy time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := usageKey{pipeline, model}
	r := m.usages[k]
	if r == nil {
		r = &usage{updatedAt: now}
		m.usages[k] = r
	}
	r.decay(now)
	r.requests++
	r.runnerSeconds += busy.Seconds()
}

// Demands returns the estimated demand on all entries: that on this entry times their number, as the load balancer
// distributes callers evenly.
func (m *Meter) Demands(entries int, now time.Time) []plan.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	lifetime := halfLife.Seconds() / math.Ln2
	var out []plan.Demand
	for k, r := range m.usages {
		r.decay(now)
		if r.requests < 1.0/16 { // four half-lives after a single request
			delete(m.usages, k)
			continue
		}
		out = append(out, plan.Demand{
			Pipeline:  k.pipeline,
			Model:     k.model,
			PerSecond: float64(entries) * r.requests / lifetime,
			Seconds:   r.runnerSeconds / r.requests,
		})
	}
	slices.SortFunc(out, func(a, b plan.Demand) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// decay reduces the sums by the time since the last update.
func (r *usage) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(r.updatedAt).Seconds() / halfLife.Seconds())
	r.requests *= factor
	r.runnerSeconds *= factor
	r.updatedAt = now
}
