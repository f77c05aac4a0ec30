package serve

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const flushTimeout = 30 * time.Second // for appending the pending action records at the end of a drain

// drainState counts the calls in flight and refuses new ones once a drain has started.
type drainState struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed when a drain has started and no call is in flight
	over     chan struct{} // closed when the drain is over
	idleOnce sync.Once
}

func (d *drainState) init() {
	d.idle = make(chan struct{})
	d.over = make(chan struct{})
}

// addCall counts a call as in flight; false means that the side is draining and refuses it.
func (d *drainState) addCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.inFlight++
	return true
}

// removeCall counts a call as finished.
func (d *drainState) removeCall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.closeIfIdle()
}

// start begins the drain and returns the number of calls in flight.
func (d *drainState) start() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	d.closeIfIdle()
	return d.inFlight
}

func (d *drainState) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// closeIfIdle closes idle once a drain has started and no call is in flight. The caller holds mu.
func (d *drainState) closeIfIdle() {
	if d.draining && d.inFlight == 0 {
		d.idleOnce.Do(func() { close(d.idle) })
	}
}

// Drain makes the side refuse new calls and finish those in flight.
func (s *Server) Drain(_ context.Context, req *sidepb.DrainRequest) (*sidepb.DrainReply, error) {
	n := s.drain.start()
	s.opts.Zap.Info("drain",
		zap.String("author", req.GetAuthor()),
		zap.String("reason", req.GetReason()),
		zap.Int("inFlight", n))
	s.hub.Notify()
	return &sidepb.DrainReply{InFlight: uint32(n)}, nil
}

// Drained returns a channel that is closed at the end of a drain: no call is in flight, the outcomes of the actions are
// in the log or flushTimeout has passed, and the entries have had time to learn of the drain. Watch streams end then.
func (s *Server) Drained() <-chan struct{} { return s.drain.over }

// awaitDrain closes the channel of Drained at the end of a drain. It waits at most flushTimeout for the log.
func (s *Server) awaitDrain(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.drain.idle:
	}
	if s.claims != nil {
		flush, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		if err := s.claims.Flush(flush); err != nil {
			s.opts.Zap.Warn("action records not flushed before the drain ended",
				zap.Int64("pending", s.claims.Counts().Pending), zap.Error(err))
		}
	}
	s.linger(ctx)
	close(s.drain.over)
}

// linger keeps the server up until every entry has learned of the drain, so that late calls are refused with a verdict
// and don't fail without one.
func (s *Server) linger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(timing.MaxLeavingTime):
	}
}
