package hedge

import (
	"sync"
	"time"
)

const (
	// saved is the longest time that a budget gathers.
	saved = 10 * time.Second
	// minSamples are needed before a quantile is trusted.
	minSamples = 100
)

// Call describes a call that might be hedged.
type Call struct {
	Repeatable bool
	Partial    bool          // a part of the answer has been passed on
	Quantile   time.Duration // high quantile of the stage's latency, for the size class
	Samples    int64         // behind the quantile
	Remaining  time.Duration // until the request's deadline
	Estimate   time.Duration // that this and the later stages are expected to take
}

// Budget is a part of the upstreams' time that hedges may cost; it is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	fraction float64
	credit   time.Duration
}

// New returns an empty budget; a fraction of 0 turns hedging off.
func New(fraction float64) *Budget { return &Budget{fraction: fraction} }

// Set changes the fraction.
func (b *Budget) Set(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fraction = fraction
	if fraction <= 0 {
		b.credit = 0
	}
}

// Delay is how long to wait before a hedge is tried; false when the call must not be hedged.
func (b *Budget) Delay(c Call) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fraction <= 0 || !c.Repeatable || c.Partial || c.Samples < minSamples {
		return 0, false
	}
	return c.Quantile, c.Quantile+c.Estimate < c.Remaining
}

// Earn adds the fraction of the time that an upstream spent on a first call.
func (b *Budget) Earn(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(saved, b.credit+time.Duration(b.fraction*float64(d)))
}

// Take reserves the time that a hedge may cost; false when the budget is spent.
func (b *Budget) Take(expected time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fraction <= 0 || b.credit < expected {
		return false
	}
	b.credit -= expected
	return true
}

// Settle replaces what was reserved for a hedge by what it cost.
func (b *Budget) Settle(reserved, cost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(saved, b.credit+reserved-cost)
}
