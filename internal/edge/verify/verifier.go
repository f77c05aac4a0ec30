package verify

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

const (
	dialDelay   = 20 * time.Millisecond // the process may still be ending
	dialTimeout = 1 * time.Second
	pendingTTL  = 6 * time.Second // longer than a crashed upstream stays on the list
	maxPending  = 1024
)

// Options are the dependencies of a Verifier.
type Options struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Hosts  func() *hosts.Table
	Report func(crash.Report) // receives each request under which an upstream crashed
	Now    func() time.Time
	Log    *zap.Logger
}

// Verifier finds out whether upstreams whose answers broke off have crashed: they refuse connections, or are no longer
// listed soon after. It is safe for concurrent use.
type Verifier struct {
	opts    Options
	waiting atomic.Int64 // requests in pending

	mu      sync.Mutex
	pending []broken
	checks  map[string]*check // by lifetime
}

// check is an attempt to connect to an upstream.
type check struct {
	begun time.Time
	done  chan struct{} // closed when the upstream has accepted or refused the connection, or has not answered
}

// broken is a request whose answer broke off.
type broken struct {
	upstream hosts.Upstream
	report   crash.Report
}

// New returns a verifier.
func New(o Options) *Verifier { return &Verifier{opts: o, checks: map[string]*check{}} }

// AnswerBroke takes a request whose answer broke off; it is reported if its upstream has crashed. The channel is closed
// when the upstream has been asked.
func (v *Verifier) AnswerBroke(u hosts.Upstream, r crash.Report) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.pending) >= maxPending {
		v.opts.Log.Warn("too many broken answers, a crash may not be reported", zap.String("upstream", u.ID))
	} else {
		v.pending = append(v.pending, broken{u, r})
		v.waiting.Store(int64(len(v.pending)))
	}
	now := v.opts.Now()
	c := v.checks[r.Lifetime]
	if c == nil || now.Sub(c.begun) >= dialDelay {
		c = &check{begun: now, done: make(chan struct{})}
		v.checks[r.Lifetime] = c
		go v.dial(u, r.Lifetime, c)
	}
	return c.done
}

// dial tries to connect to an upstream and confirms its crash if that is refused.
func (v *Verifier) dial(u hosts.Upstream, lifetime string, c *check) {
	defer close(c.done)
	time.Sleep(dialDelay)
	if v.opts.Hosts().IsEvacuated(u.Zone) {
		return // an upstream there gets no connections; Check still notices when it leaves the list
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := v.opts.Dial(ctx, "tcp4", u.Address)
	if err == nil {
		_ = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	v.opts.Log.Info("upstream checked", zap.String("upstream", u.ID), zap.Bool("crashed", refused), zap.Error(err))
	if refused {
		v.confirm(func(b broken) bool { return b.report.Lifetime == lifetime })
	}
}

// Check reports the requests whose upstream has left the list since, and forgets those that are too old.
func (v *Verifier) Check() {
	if v.waiting.Load() == 0 {
		return
	}
	table := v.opts.Hosts()
	v.confirm(func(b broken) bool {
		u, listed := table.Get(b.upstream.ID)
		return !listed || u.StartedMs != b.upstream.StartedMs
	})
	now := v.opts.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = slices.DeleteFunc(v.pending, func(b broken) bool { return now.Sub(b.report.Broke) > pendingTTL })
	v.waiting.Store(int64(len(v.pending)))
	for lifetime, c := range v.checks {
		if now.Sub(c.begun) > pendingTTL {
			delete(v.checks, lifetime)
		}
	}
}

// confirm reports the requests for which crashed returns true.
func (v *Verifier) confirm(crashed func(broken) bool) {
	v.mu.Lock()
	var found []crash.Report
	v.pending = slices.DeleteFunc(v.pending, func(b broken) bool {
		if !crashed(b) {
			return false
		}
		found = append(found, b.report)
		return true
	})
	v.waiting.Store(int64(len(v.pending)))
	v.mu.Unlock()
	for _, r := range found {
		v.opts.Report(r)
	}
}
