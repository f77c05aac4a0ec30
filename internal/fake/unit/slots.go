package unit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const loadHistory = 4096

// slots let a few calls run at once and queue the others by priority.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []*waiter
	history []upstream.Load
}

type waiter struct {
	priority uint32
	ready    chan struct{}
}

func (s *slots) acquire(ctx context.Context, priority uint32) error {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.mu.Lock()
	s.waiting = append(s.waiting, w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free++
	s.grant()
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.note()
		return
	}
	s.running--
	s.free++
	s.grant()
}

func (s *slots) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		best := 0
		for i, w := range s.waiting {
			if w.priority < s.waiting[best].priority {
				best = i
			}
		}
		close(s.waiting[best].ready)
		s.waiting = slices.Delete(s.waiting, best, best+1)
		s.free--
		s.running++
	}
	s.note()
}

func (s *slots) note() {
	s.history = append(s.history, upstream.Load{Running: s.running, Queued: len(s.waiting), At: time.Now()})
	if len(s.history) > loadHistory {
		s.history = slices.Clone(s.history[loadHistory/2:])
	}
}

// load returns the newest report that is at least lag old.
func (s *slots) load(lag time.Duration) upstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := upstream.Load{}
	for _, l := range s.history {
		if now.Sub(l.At) >= lag {
			out = l
		}
	}
	out.At = now.Add(-lag)
	return out
}

func (s *slots) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.running) / float64(s.running+s.free)
}
