package spill

import "sync"

const (
	burst      = 10 // calls
	defaultCap = 0.5
)

// Cap is a budget of calls that may leave their zone; it is safe for concurrent use.
type Cap struct {
	mu       sync.Mutex
	fraction float64
	credit   float64
}

// New returns a cap at fraction of all calls; 0 means 0.5, negative means none.
func New(fraction float64) *Cap {
	c := &Cap{}
	c.Set(fraction)
	c.credit = burst * max(0, c.fraction)
	return c
}

// Set changes the fraction.
func (c *Cap) Set(fraction float64) {
	if fraction == 0 {
		fraction = defaultCap
	}
	c.mu.Lock()
	c.fraction = min(1, max(0, fraction))
	c.mu.Unlock()
}

// CountCall adds a call to the budget's base.
func (c *Cap) CountCall() {
	c.mu.Lock()
	c.credit = min(burst, c.credit+c.fraction)
	c.mu.Unlock()
}

// Allow takes one call's leave out of the budget, false when it is spent.
func (c *Cap) Allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
