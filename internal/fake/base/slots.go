package base

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const maxLoadReports = 4096 // kept to serve reports that lag

// slots limits the number of calls that run at once and queues the others by priority, the lowest number first.
type slots struct {
	mu      sync.Mutex
	free    int
	running int
	waiting []*waiter
	reports []upstream.Load // oldest first
}

// waiter is a queued call.
type waiter struct {
	priority uint32
	ready    chan struct{}
}

// acquire waits for a slot, or fails when ctx ends.
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

// abandon takes a waiter out of the queue, or frees its slot if it was granted one in the meantime.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.addReport()
		return
	}
	s.running--
	s.free++
	s.grant()
}

// grant gives free slots to the waiters, the most urgent first.
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
	s.addReport()
}

// addReport records the present load.
func (s *slots) addReport() {
	s.reports = append(s.reports, upstream.Load{Running: s.running, Queued: len(s.waiting), At: time.Now()})
	if len(s.reports) > maxLoadReports {
		s.reports = slices.Clone(s.reports[maxLoadReports/2:])
	}
}

// load returns the newest report that is at least lag old, stamped with the time it stands for.
func (s *slots) load(lag time.Duration) upstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := upstream.Load{}
	for _, l := range s.reports {
		if now.Sub(l.At) >= lag {
			out = l
		}
	}
	out.At = now.Add(-lag)
	return out
}

// utilization returns the share of slots in use, from 0 to 1.
func (s *slots) utilization() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.running) / float64(s.running+s.free)
}
