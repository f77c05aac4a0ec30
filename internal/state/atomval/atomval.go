package atomval

import "sync/atomic"

// Value holds an immutable value that can be replaced atomically; it is safe for concurrent use.
type Value[T any] struct {
	p atomic.Pointer[T]
}

// New returns a Value that holds v.
func New[T any](v T) *Value[T] {
	c := &Value[T]{}
	c.p.Store(&v)
	return c
}

// Load returns the current value.
func (c *Value[T]) Load() T { return *c.p.Load() }

// Update replaces the value by the result of f; f may run more than once and must not modify its argument.
func (c *Value[T]) Update(f func(T) T) {
	for {
		old := c.p.Load()
		next := f(*old)
		if c.p.CompareAndSwap(old, &next) {
			return
		}
	}
}
