package serve

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const flushBound = 30 * time.Second // for the records that wait for the log at the end of a drain

// drain counts the calls inside and closes the door on new ones.
type drain struct {
	mu       sync.Mutex
	inside   int
	draining bool
	empty    chan struct{} // closed when the last call has left
	done     chan struct{} // closed when the drain is over
	once     sync.Once
}

func (d *drain) init() {
	d.empty = make(chan struct{})
	d.done = make(chan struct{})
}

func (d *drain) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inside++
	return true
}

func (d *drain) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inside--
	d.check()
}

// start closes the door and returns how many calls are inside.
func (d *drain) start() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	d.check()
	return d.inside
}

func (d *drain) on() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drain) check() {
	if d.draining && d.inside == 0 {
		d.once.Do(func() { close(d.empty) })
	}
}

// Drain refuses new work from now on and lets the work in flight finish.
func (s *Server) Drain(_ context.Context, req *sidepb.DrainRequest) (*sidepb.DrainReply, error) {
	n := s.drain.start()
	s.opts.Zap.Info("drain",
		zap.String("author", req.GetAuthor()),
		zap.String("reason", req.GetReason()),
		zap.Int("inFlight", n))
	s.hub.Notify()
	return &sidepb.DrainReply{InFlight: uint32(n)}, nil
}

// Drained is closed when a drain has been asked for, no call is in flight any more, what became of the
// actions is in the log, and the entries have had time to learn of it. Watches end then.
func (s *Server) Drained() <-chan struct{} { return s.drain.done }

// drained waits for the end of a drain; a log that stays down holds it up for flushBound only.
func (s *Server) drained(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.drain.empty:
	}
	if s.window != nil {
		flush, cancel := context.WithTimeout(ctx, flushBound)
		defer cancel()
		if err := s.window.Flush(flush); err != nil {
			s.opts.Zap.Warn("flush", zap.Int64("pending", s.window.Counts().Pending), zap.Error(err))
		}
	}
	s.linger(ctx)
	close(s.drain.done)
}

// linger goes on refusing calls with a verdict until every entry has learned of the drain.
func (s *Server) linger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(timing.MaxLeavingTime):
	}
}
