package spill

import "sync"

const (
	maxCredit       = 10 // calls
	defaultFraction = 0.5
)

// Cap is a budget of calls that may leave their zone, earned by all calls; it is safe for concurrent use.
type Cap struct {
	mu       sync.Mutex
	fraction float64
	credit   float64 // calls that may leave their zone now
}

// New returns a cap at fraction of all calls; 0 means 0.5, a negative fraction lets no call leave.
func New(fraction float64) *Cap {
	c := &Cap{}
	c.Set(fraction)
	c.credit = maxCredit * max(0, c.fraction)
	return c
}

// Set changes the fraction; 0 means 0.5, a negative fraction lets no call earn credit.
func (c *Cap) Set(fraction float64) {
	if fraction == 0 {
		fraction = defaultFraction
	}
	c.mu.Lock()
	c.fraction = min(1, max(0, fraction))
	c.mu.Unlock()
}

// CountCall counts a call, which earns the fraction of a call as credit.
func (c *Cap) CountCall() {
	c.mu.Lock()
	c.credit = min(maxCredit, c.credit+c.fraction)
	c.mu.Unlock()
}

// Allow takes one call out of the budget; false when it is spent.
func (c *Cap) Allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
