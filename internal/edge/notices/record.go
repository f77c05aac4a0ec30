package notices

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

const (
	longestPause = 1 * time.Hour    // an upstream that wants a longer one is asked again after it
	keepFor      = 60 * time.Second // a lifetime that is not listed any more is remembered; an older list may show it again
)

// Notice is what a lifetime of an upstream said.
type Notice struct {
	Lifetime hosts.Lifetime
	Leaving  bool          // it is about to end
	Pause    time.Duration // it wants nothing for so long, 0 if it did not say
}

// Options are the dependencies of a Record.
type Options struct {
	OnLeaving func()       // called when a lifetime was found to leave
	OnNotice  func(Notice) // passes on what an answer to this process said
	Now       func() time.Time
	Log       *zap.Logger
}

// entry is what is known of one lifetime.
type entry struct {
	leaving bool
	opens   time.Time // nothing is sent before
	noted   time.Time
}

// Record is safe for concurrent use.
type Record struct {
	o     Options
	known atomic.Int64 // lifetimes, so that there is nothing to lock while there are none
	mu    sync.RWMutex
	byOne map[hosts.Lifetime]entry
}

// New returns a record without lifetimes.
func New(o Options) *Record { return &Record{o: o, byOne: map[hosts.Lifetime]entry{}} }

// AddAnswer takes over what the head of an answer says of its upstream, and passes on what is new.
func (r *Record) AddAnswer(u hosts.Upstream, status int, head call.Answer) {
	n := Notice{Lifetime: u.Lifetime(), Leaving: head.Leaving}
	if status == http.StatusServiceUnavailable {
		n.Pause = min(head.RetryAfter, longestPause)
	}
	left, paused := r.note(n)
	if !left && !paused {
		return
	}
	r.o.Log.Info("upstream said", zap.String("upstream", u.ID), zap.String("pool", u.Pool), zap.Int64("born", u.StartedMs),
		zap.Bool("leaving", n.Leaving), zap.Duration("pause", n.Pause), zap.Int("status", status))
	r.o.OnNotice(n)
}

// AddRemote takes over that a lifetime leaves, from another process; pauses are between one process and an upstream.
func (r *Record) AddRemote(n Notice) {
	if left, _ := r.note(Notice{Lifetime: n.Lifetime, Leaving: n.Leaving}); left {
		r.o.Log.Info("upstream leaves, another entry was told", zap.String("upstream", n.Lifetime.ID), zap.Int64("born", n.Lifetime.StartedMs))
	}
}

// note says whether the notice tells anything new.
func (r *Record) note(n Notice) (left, paused bool) {
	if !n.Leaving && n.Pause <= 0 {
		return false, false
	}
	now := r.o.Now()
	r.mu.Lock()
	e := r.byOne[n.Lifetime]
	left = n.Leaving && !e.leaving
	e.leaving = e.leaving || n.Leaving
	if opens := now.Add(n.Pause); n.Pause > 0 && opens.After(e.opens) {
		e.opens, paused = opens, true
	}
	e.noted = now
	r.byOne[n.Lifetime] = e
	r.known.Store(int64(len(r.byOne)))
	r.mu.Unlock()
	if left {
		r.o.OnLeaving()
	}
	return left, paused
}

func (r *Record) get(l hosts.Lifetime) entry {
	if r.known.Load() == 0 {
		return entry{}
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byOne[l]
}

// IsLeaving says whether a lifetime is known to leave.
func (r *Record) IsLeaving(l hosts.Lifetime) bool { return r.get(l).leaving }

// PauseRemaining is the time until something may be sent to a lifetime; 0 if that is now.
func (r *Record) PauseRemaining(l hosts.Lifetime) time.Duration {
	opens := r.get(l).opens
	if opens.IsZero() {
		return 0
	}
	return max(0, opens.Sub(r.o.Now()))
}

// NotPaused lists the upstreams to which something may be sent now, and the time until the first of the others opens if there
// are none. The list must not be changed.
func (r *Record) NotPaused(all []hosts.Upstream) (open []hosts.Upstream, first time.Duration) {
	if r.known.Load() == 0 {
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

// Notices lists what still holds, for a process that has not heard it.
func (r *Record) Notices() []Notice {
	now := r.o.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []Notice
	for l, e := range r.byOne {
		if pause := max(0, e.opens.Sub(now)); e.leaving || pause > 0 {
			out = append(out, Notice{Lifetime: l, Leaving: e.leaving, Pause: pause})
		}
	}
	return out
}

// Forget drops the lifetimes that are not in a table, some time after they were heard of, and pauses that are over.
func (r *Record) Forget(t *hosts.Table) {
	if r.known.Load() == 0 {
		return
	}
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for l, e := range r.byOne {
		u, listed := t.Get(l.ID)
		gone := (!listed || u.StartedMs != l.StartedMs) && now.Sub(e.noted) > keepFor
		if over := !e.leaving && !now.Before(e.opens); gone || over {
			delete(r.byOne, l)
		}
	}
	r.known.Store(int64(len(r.byOne)))
}
