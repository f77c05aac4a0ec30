package serve

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// drain counts the calls inside and closes the door on new ones.
type drain struct {
	mu       sync.Mutex
	inside   int
	draining bool
	empty    chan struct{}
	once     sync.Once
}

func (d *drain) init() { d.empty = make(chan struct{}) }

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

// Drained is closed when a drain has been asked for and no call is in flight any more.
func (s *Server) Drained() <-chan struct{} { return s.drain.empty }

func (s *Server) leave() { s.drain.leave() }
