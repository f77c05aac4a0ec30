package demand

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// halfLife is the time in which a request is half forgotten.
const halfLife = time.Minute

type key struct {
	pipeline string
	model    string
}

// row holds decaying sums; divided by the mean lifetime of a request in them they are rates.
type row struct {
	requests float64
	seconds  float64 // of runners
	at       time.Time
}

// Meter is safe for concurrent use.
type Meter struct {
	mu   sync.Mutex
	rows map[key]*row
}

// New returns a meter that has seen nothing.
func New() *Meter { return &Meter{rows: map[key]*row{}} }

// Count adds one generation; busy is the part of a runner that it took, in time of a whole runner.
func (m *Meter) Count(pipeline, model string, busy time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{pipeline, model}
	r := m.rows[k]
	if r == nil {
		r = &row{at: now}
		m.rows[k] = r
	}
	r.age(now)
	r.requests++
	r.seconds += busy.Seconds()
}

// Demands scales what this entry has seen to so many entries, as the balancer spreads callers evenly over them.
func (m *Meter) Demands(entries int, now time.Time) []plan.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	lifetime := halfLife.Seconds() / math.Ln2
	var out []plan.Demand
	for k, r := range m.rows {
		r.age(now)
		if r.requests < 1.0/16 {
			delete(m.rows, k)
			continue
		}
		out = append(out, plan.Demand{
			Pipeline:  k.pipeline,
			Model:     k.model,
			PerSecond: float64(entries) * r.requests / lifetime,
			Seconds:   r.seconds / r.requests,
		})
	}
	slices.SortFunc(out, func(a, b plan.Demand) int {
		return cmp.Or(cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Model, b.Model))
	})
	return out
}

func (r *row) age(now time.Time) {
	left := math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	r.requests *= left
	r.seconds *= left
	r.at = now
}
