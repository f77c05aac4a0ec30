package proc

import (
	"context"
	"sync"
	"time"
)

// Proc is a simulated process that is up or down; its methods are safe for concurrent use.
type Proc struct {
	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	up       bool
	starts   int
	watchers []func(up bool)
}

// New returns a process that is up.
func New() *Proc {
	p := &Proc{}
	p.Start()
	return p
}

// Context returns a context that is canceled when the process stops, and whether the process is up.
func (p *Proc) Context() (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx, p.up
}

// Starts returns how often the process was started.
func (p *Proc) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// OnChange makes the process call f after each start and each stop.
func (p *Proc) OnChange(f func(up bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers = append(p.watchers, f)
}

// Start starts the process; it does nothing if the process is up.
func (p *Proc) Start() { p.set(true) }

// Stop stops the process and cancels what runs in it; it does nothing if the process is down.
func (p *Proc) Stop() { p.set(false) }

// Crash stops the process and starts it again after a delay.
func (p *Proc) Crash(restartAfter time.Duration) {
	p.Stop()
	time.AfterFunc(restartAfter, p.Start)
}

// set starts or stops the process and then tells the watchers, without the lock.
func (p *Proc) set(up bool) {
	p.mu.Lock()
	if p.up == up {
		p.mu.Unlock()
		return
	}
	p.up = up
	if up {
		p.starts++
		p.ctx, p.cancel = context.WithCancel(context.Background())
	} else {
		p.cancel()
	}
	watchers := p.watchers
	p.mu.Unlock()
	for _, f := range watchers {
		f(up)
	}
}
