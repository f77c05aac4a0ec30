package notify

import "sync"

// Box hands out a channel that is closed at the next Fire.
type Box struct {
	mu sync.Mutex
	ch chan struct{}
}

// New returns a box that has not fired.
func New() *Box { return &Box{ch: make(chan struct{})} }

// Next returns a channel that is closed at the next Fire; take it before looking at the value that is waited for.
func (b *Box) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// Fire wakes all that wait.
func (b *Box) Fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
