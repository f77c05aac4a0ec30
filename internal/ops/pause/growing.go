package pause

import "time"

// Growing is an exponential backoff that starts at First and doubles up to Most. It is not safe for concurrent use.
type Growing struct {
	First, Most time.Duration
	current     time.Duration
}

// Next returns the next delay.
func (g *Growing) Next() time.Duration {
	g.current = min(g.Most, max(g.First, 2*g.current))
	return g.current
}

// Reset makes First the next delay.
func (g *Growing) Reset() { g.current = 0 }
