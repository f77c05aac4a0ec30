package cell

import "sync/atomic"

// Cell is safe for concurrent use.
type Cell[T any] struct {
	p atomic.Pointer[T]
}

// New returns a cell with a first value.
func New[T any](v T) *Cell[T] {
	c := &Cell[T]{}
	c.p.Store(&v)
	return c
}

// Load returns the current value.
func (c *Cell[T]) Load() T { return *c.p.Load() }

// Update replaces the value by what f makes of it; f may run more than once.
func (c *Cell[T]) Update(f func(T) T) {
	for {
		old := c.p.Load()
		next := f(*old)
		if c.p.CompareAndSwap(old, &next) {
			return
		}
	}
}
