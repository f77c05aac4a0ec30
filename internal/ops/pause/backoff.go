package pause

import "time"

// Backoff is an exponential backoff that starts at Min and doubles up to Max. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	current  time.Duration
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	b.current = min(b.Max, max(b.Min, 2*b.current))
	return b.current
}

// Reset makes Min the next delay.
func (b *Backoff) Reset() { b.current = 0 }
