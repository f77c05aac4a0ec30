package pause

import "time"

// Growing is a pause that doubles each time, from First up to Most; it is owned by one goroutine.
type Growing struct {
	First, Most time.Duration
	last        time.Duration
}

// Next is the next pause.
func (g *Growing) Next() time.Duration {
	g.last = min(g.Most, max(g.First, 2*g.last))
	return g.last
}

// Reset makes the next pause the first one again.
func (g *Growing) Reset() { g.last = 0 }
