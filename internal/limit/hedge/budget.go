package hedge

import (
	"sync"
	"time"
)

const (
	// maxCredit is the most upstream time that a budget accumulates.
	maxCredit = 10 * time.Second
	// minSamples is the number of samples from which a quantile is trusted.
	minSamples = 100
)

// Call describes a call that might be hedged.
type Call struct {
	Repeatable bool          // may run twice without harm
	Partial    bool          // part of the answer has already been sent to the caller
	Quantile   time.Duration // P99 of the stage's latency for the request's size class (short or long)
	Samples    int64         // number of latencies that Quantile is computed from
	Remaining  time.Duration // until the request's deadline
	Estimate   time.Duration // expected time of a hedge and of the later stages
}

// Budget bounds the upstream time of hedges to a fraction of that of first calls; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	fraction float64
	credit   time.Duration
}

// New returns an empty budget; a fraction of 0 turns hedging off.
func New(fraction float64) *Budget { return &Budget{fraction: fraction} }

// Set changes the fraction; 0 turns hedging off.
func (b *Budget) Set(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fraction = fraction
	if fraction <= 0 {
		b.credit = 0
	}
}

// Delay returns how long to wait before a hedge is sent; false when the call must not be hedged.
func (b *Budget) Delay(c Call) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fraction <= 0 || !c.Repeatable || c.Partial || c.Samples < minSamples {
		return 0, false
	}
	return c.Quantile, c.Quantile+c.Estimate < c.Remaining
}

// Earn adds the fraction of the time that an upstream spent on a first call to the budget.
func (b *Budget) Earn(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+time.Duration(b.fraction*float64(d)))
}

// Take reserves the expected time of a hedge. It returns false when hedging is off or the budget is too small.
func (b *Budget) Take(expected time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fraction <= 0 || b.credit < expected {
		return false
	}
	b.credit -= expected
	return true
}

// Settle replaces the time reserved for a hedge by the time it cost.
func (b *Budget) Settle(reserved, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(maxCredit, b.credit+reserved-cost)
}
