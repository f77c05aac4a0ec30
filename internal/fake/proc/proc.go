package proc

import (
	"context"
	"sync"
	"time"
)

// Proc is a process that is up or down.
type Proc struct {
	mu       sync.Mutex
	life     context.Context
	end      context.CancelFunc
	up       bool
	lives    int
	watchers []func(up bool)
}

// New returns a process that is up.
func New() *Proc {
	p := &Proc{}
	p.Start()
	return p
}

// Life returns a context that ends when the process dies, and whether it is up.
func (p *Proc) Life() (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.up
}

// Lives counts how often the process was started.
func (p *Proc) Lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// OnChange calls f after each start and each death.
func (p *Proc) OnChange(f func(up bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers = append(p.watchers, f)
}

// Start brings the process up; it does nothing when it is up.
func (p *Proc) Start() { p.set(true) }

// Stop kills the process, and with it all that runs in it.
func (p *Proc) Stop() { p.set(false) }

// Crash kills the process and starts it again after a while.
func (p *Proc) Crash(restartAfter time.Duration) {
	p.Stop()
	time.AfterFunc(restartAfter, p.Start)
}

func (p *Proc) set(up bool) {
	p.mu.Lock()
	if p.up == up {
		p.mu.Unlock()
		return
	}
	p.up = up
	if up {
		p.lives++
		p.life, p.end = context.WithCancel(context.Background())
	} else {
		p.end()
	}
	watchers := p.watchers
	p.mu.Unlock()
	for _, f := range watchers {
		f(up)
	}
}
