package wakeup

import (
	"context"
	"sync"
	"time"
)

// Signal announces successes to goroutines that back off; it is safe for concurrent use.
type Signal struct {
	mu    sync.Mutex
	count int
	next  chan struct{} // closed at the next success; nil while nobody waits
}

// New returns a signal without successes.
func New() *Signal { return &Signal{} }

// Count is the number of successes.
func (s *Signal) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Wait returns after d, when ctx ends, or at the next success. The count is to be taken before the attempt that failed:
// if there was a success since then, Wait takes at most minWait.
func (s *Signal) Wait(ctx context.Context, count int, minWait, d time.Duration) {
	s.mu.Lock()
	if s.count != count {
		d = min(d, minWait)
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

// Succeeded counts a success and wakes all waiting goroutines.
func (s *Signal) Succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
