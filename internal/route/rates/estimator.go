package rates

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	minSamples     = 4                      // before the rate of an engine is its own
	doubtSamples   = 10                     // after which the doubt about rates below the prior one is half
	maxSamples     = 48                     // kept for each engine
	minTokens      = 1000                   // in a sample; a smaller prompt takes mostly other time than reading
	fullTokens     = 60_000                 // a sample of so many tokens has the full weight
	quantile       = 0.9                    // of the samples by weight; most of them may hold other time than reading
	halfLife       = 5 * time.Second        // of the weight of a sample
	maxAge         = 30 * time.Second       // of the newest sample, after which the engine's rate is the median again
	medianLifetime = 100 * time.Millisecond // between calculations of the median
	maxFactor      = 20                     // by which a sample may differ from the first assumption
	tolerance      = 1.25                   // engines within this factor of the median count as equal; samples differ as much
)

// Estimator learns the rates at which the engines of one pool read prompts, in tokens per ms. It is not safe for
// concurrent use.
type Estimator[K comparable] struct {
	assumed  float64
	engines  map[K]*engine
	median   float64
	medianAt time.Time // zero if it must be calculated again
}

// engine holds the samples of one lifetime of an engine.
type engine struct {
	samples []sample // the oldest first
	count   int      // of all samples
	prior   float64  // rate that was expected before the first sample
	rate    float64  // 0 while there are less than minSamples
}

// sample is a lower bound of a rate.
type sample struct {
	rate   float64 // tokens per ms
	weight float64
	at     time.Time
}

// New returns an Estimator that assumes a rate, in tokens per ms, until it has samples.
func New[K comparable](assumed float64) *Estimator[K] {
	return &Estimator[K]{assumed: assumed, engines: map[K]*engine{}}
}

// Observe records that an engine has read so many prompt tokens, or more, within a time. It ignores few tokens.
func (e *Estimator[K]) Observe(key K, tokens int, took time.Duration, now time.Time) {
	if tokens < minTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / (float64(took) / float64(time.Millisecond))
	rate = min(e.assumed*maxFactor, max(e.assumed/maxFactor, rate))
	g := e.engines[key]
	if g == nil {
		g = &engine{prior: e.Median(now)}
		e.engines[key] = g
	}
	if len(g.samples) == maxSamples {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
	g.samples = append(g.samples, sample{rate: rate, weight: min(1, float64(tokens)/fullTokens), at: now})
	g.count++
	if len(g.samples) < minSamples {
		return
	}
	// Samples are lower bounds, so that a few low ones say little.
	g.rate = g.quantile(now)
	if g.rate < g.prior {
		g.rate += math.Exp2(-float64(g.count)/doubtSamples) * (g.prior - g.rate)
	}
}

// quantile returns the quantile of the engine's samples, weighted by their age and tokens.
func (g *engine) quantile(now time.Time) float64 {
	sorted := slices.Clone(g.samples)
	total := 0.0
	for i, s := range sorted {
		sorted[i].weight *= math.Exp2(-float64(now.Sub(s.at)) / float64(halfLife))
		total += sorted[i].weight
	}
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.rate, b.rate) })
	below := 0.0
	for _, s := range sorted {
		if below += s.weight; below >= quantile*total {
			return s.rate
		}
	}
	return sorted[len(sorted)-1].rate
}

// Rate returns the rate at which an engine is expected to read, in tokens per ms: its own, the median of the pool while
// it has few samples or only old ones or is close to it, or the first assumption if there is no engine with samples.
func (e *Estimator[K]) Rate(key K, now time.Time) float64 {
	median := e.Median(now)
	g := e.engines[key]
	if g == nil || !g.isKnown(now) || (g.rate < median*tolerance && g.rate > median/tolerance) {
		return median
	}
	return g.rate
}

// isKnown reports whether the engine's samples are enough and not too old.
func (g *engine) isKnown(now time.Time) bool {
	return g.rate > 0 && now.Sub(g.samples[len(g.samples)-1].at) <= maxAge
}

// Median returns the median rate of the engines with samples, in tokens per ms.
func (e *Estimator[K]) Median(now time.Time) float64 {
	if age := now.Sub(e.medianAt); !e.medianAt.IsZero() && age >= 0 && age < medianLifetime {
		return e.median
	}
	var known []float64
	for _, g := range e.engines {
		if g.isKnown(now) {
			known = append(known, g.rate)
		}
	}
	e.median, e.medianAt = e.assumed, now
	if n := len(known); n > 0 {
		slices.Sort(known)
		e.median = (known[(n-1)/2] + known[n/2]) / 2
	}
	return e.median
}

// Retain drops the samples of all engines but those for which keep is true.
func (e *Estimator[K]) Retain(keep func(K) bool) {
	maps.DeleteFunc(e.engines, func(key K, _ *engine) bool { return !keep(key) })
	e.medianAt = time.Time{}
}
