package wakeup

import (
	"context"
	"sync"
	"time"
)

// Signal is safe for concurrent use.
type Signal struct {
	mu    sync.Mutex
	count int
	next  chan struct{} // closed at the next success; nil while nobody waits
}

// New returns a signal that nobody waits for.
func New() *Signal { return &Signal{} }

// Count is the number of successes.
func (s *Signal) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Wait returns after d, when ctx ends, or at the next success. If there were successes since the count was taken, before
// what has failed was begun, it only waits for least.
func (s *Signal) Wait(ctx context.Context, count int, least, d time.Duration) {
	s.mu.Lock()
	if s.count != count {
		d = min(d, least)
	}
	if s.next == nil {
		s.next = make(chan struct{})
	}
	next := s.next
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-next:
	}
}

// Succeeded wakes all who wait.
func (s *Signal) Succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
