package notices

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

const (
	maxPause          = 1 * time.Hour    // an upstream that asks for a longer pause is tried again after this time
	unlistedRetention = 60 * time.Second // of unlisted lifetimes, which an older list may still show
)

// Notice is what a lifetime of an upstream announced.
type Notice struct {
	Lifetime hosts.Lifetime
	Leaving  bool          // it is shutting down
	Pause    time.Duration // it wants no requests for this long; 0 if it did not say
}

// Options are the dependencies of a Record.
type Options struct {
	OnLeaving func()       // called when a lifetime is first known to shut down
	OnNotice  func(Notice) // called with what an answer to this process announced, if it is new
	// OnLimit is called with what each answer to this process said of a limit; it reports whether that is new.
	OnLimit func(pace.Statement[hosts.Lifetime]) bool
	Now     func() time.Time
	Log     *zap.Logger
}

// state is what is known of one lifetime.
type state struct {
	leaving     bool
	pausedUntil time.Time // nothing is sent until then
	updated     time.Time // of the last notice
}

// Record holds the notices of all lifetimes; it is safe for concurrent use.
type Record struct {
	o          Options
	size       atomic.Int64 // of byLifetime, so that nothing is locked while it is empty
	mu         sync.RWMutex
	byLifetime map[hosts.Lifetime]state
}

// New returns an empty record.
func New(o Options) *Record { return &Record{o: o, byLifetime: map[hosts.Lifetime]state{}} }

// AddAnswer records what the header of an answer announces about its upstream, and reports what is new to OnNotice. The
// request was sent at the given time.
func (r *Record) AddAnswer(u hosts.Upstream, sent time.Time, status int, head call.Answer) {
	r.addLimit(u, sent, status, head)
	n := Notice{Lifetime: u.Lifetime(), Leaving: head.Leaving}
	if status == http.StatusServiceUnavailable {
		n.Pause = min(head.RetryAfter, maxPause)
	}
	leaving, paused := r.add(n)
	if !leaving && !paused {
		return
	}
	r.o.Log.Info("upstream said", zap.String("upstream", u.ID), zap.String("pool", u.Pool), zap.Int64("born", u.StartedMs),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause), zap.Int("status", status))
	r.o.OnNotice(n)
}

// addLimit passes on what an answer said of a limit. An answer without a limit ends only one that was named before its
// request was sent, as answers on different connections may overtake each other.
func (r *Record) addLimit(u hosts.Upstream, sent time.Time, status int, head call.Answer) {
	if status == http.StatusMisdirectedRequest {
		return // the answer of another upstream
	}
	s := pace.Statement[hosts.Lifetime]{Key: u.Lifetime(), Limited: head.HasLimit, Rate: head.Limit, At: sent}
	if s.Limited {
		s.At = r.o.Now()
	}
	if r.o.OnLimit(s) {
		r.o.Log.Info("limit changed", zap.String("upstream", u.ID), zap.String("pool", u.Pool), zap.Int64("born", u.StartedMs),
			zap.Bool("limited", s.Limited), zap.Float64("rate", s.Rate))
	}
}

// AddRemote records from another process's notice that a lifetime shuts down. A pause in it is ignored, as it holds
// only between the process that was asked for it and the upstream.
func (r *Record) AddRemote(n Notice) {
	if leaving, _ := r.add(Notice{Lifetime: n.Lifetime, Leaving: n.Leaving}); leaving {
		r.o.Log.Info("upstream leaves, another entry was told", zap.String("upstream", n.Lifetime.ID),
			zap.Int64("born", n.Lifetime.StartedMs))
	}
}

// add records a notice. It reports whether the notice is the first to say that the lifetime shuts down, and whether it
// sets or extends a pause.
func (r *Record) add(n Notice) (newlyLeaving, paused bool) {
	if !n.Leaving && n.Pause <= 0 {
		return false, false
	}
	now := r.o.Now()
	r.mu.Lock()
	s := r.byLifetime[n.Lifetime]
	newlyLeaving = n.Leaving && !s.leaving
	s.leaving = s.leaving || n.Leaving
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil, paused = until, true
	}
	s.updated = now
	r.byLifetime[n.Lifetime] = s
	r.size.Store(int64(len(r.byLifetime)))
	r.mu.Unlock()
	if newlyLeaving {
		r.o.OnLeaving()
	}
	return newlyLeaving, paused
}

// get returns what is known of a lifetime; the zero state if nothing is.
func (r *Record) get(l hosts.Lifetime) state {
	if r.size.Load() == 0 {
		return state{}
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byLifetime[l]
}

// IsLeaving reports whether a lifetime is known to shut down.
func (r *Record) IsLeaving(l hosts.Lifetime) bool { return r.get(l).leaving }

// PauseRemaining returns the time until requests may be sent to a lifetime; 0 if they may be now.
func (r *Record) PauseRemaining(l hosts.Lifetime) time.Duration {
	until := r.get(l).pausedUntil
	if until.IsZero() {
		return 0
	}
	return max(0, until.Sub(r.o.Now()))
}

// NotPaused lists the upstreams that are not paused. If there are none, first is the time until the first pause ends.
// The list must not be changed.
func (r *Record) NotPaused(all []hosts.Upstream) (open []hosts.Upstream, first time.Duration) {
	if r.size.Load() == 0 {
		return all, 0
	}
	for _, u := range all {
		d := r.PauseRemaining(u.Lifetime())
		switch {
		case d == 0:
			open = append(open, u)
		case first == 0 || d < first:
			first = d
		}
	}
	if len(open) > 0 {
		first = 0
	}
	return open, first
}

// Notices lists the notices in force, for a process that has not received them.
func (r *Record) Notices() []Notice {
	now := r.o.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Notice
	for l, s := range r.byLifetime {
		if pause := max(0, s.pausedUntil.Sub(now)); s.leaving || pause > 0 {
			out = append(out, Notice{Lifetime: l, Leaving: s.leaving, Pause: pause})
		}
	}
	return out
}

// Forget drops pauses that are over, and lifetimes that are not in a table and had no notice for unlistedRetention.
func (r *Record) Forget(t *hosts.Table) {
	if r.size.Load() == 0 {
		return
	}
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l, s := range r.byLifetime {
		u, listed := t.Get(l.ID)
		gone := (!listed || u.StartedMs != l.StartedMs) && now.Sub(s.updated) > unlistedRetention
		if over := !s.leaving && !now.Before(s.pausedUntil); gone || over {
			delete(r.byLifetime, l)
		}
	}
	r.size.Store(int64(len(r.byLifetime)))
}
