package notify

import "sync"

// Broadcaster hands out a channel that is closed at the next Broadcast.
type Broadcaster struct {
	mu sync.Mutex
	ch chan struct{}
}

// New returns a Broadcaster.
func New() *Broadcaster { return &Broadcaster{ch: make(chan struct{})} }

// Next returns a channel that is closed at the next Broadcast; get it before reading the value that may change.
func (b *Broadcaster) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// Broadcast wakes all goroutines waiting on the channel.
func (b *Broadcaster) Broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
