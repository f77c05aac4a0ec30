package pace

import (
	"math"
	"sync"
	"time"
)

const (
	burstTime = 500 * time.Millisecond // unused requests are kept for this long, but one always is
	minRate   = 0.1                    // requests per second, so that an upstream that accepts none is asked again
	maxWait   = 10 * time.Second       // longest wait that is returned
	retention = 60 * time.Second       // of unlisted upstreams, which an older list may still show
)

// Statement is what the upstream with a key said of its limit in an answer.
type Statement[K comparable] struct {
	Key     K
	Limited bool      // it named a limit
	Rate    float64   // the limit in requests per second, for all processes together
	At      time.Time // when the answer came; if it named no limit, when its request was sent
}

// Options are the dependencies of a Limiter.
type Options struct {
	// Share is the part of each limit that this process may use, from 0 to 1.
	Share func() float64
	Now   func() time.Time
}

// bucket holds the requests that an upstream accepts now.
type bucket[K comparable] struct {
	last    Statement[K]
	tokens  float64
	updated time.Time // when tokens was computed
	change  int64     // number of the last change of the limit
}

// Limiter tracks the limits of upstreams, and counts the requests to those that named one. It is safe for concurrent
// use.
type Limiter[K comparable] struct {
	opts    Options
	mu      sync.Mutex
	buckets map[K]*bucket[K]
	limited int   // number of buckets with a limit
	changes int64 // number of changes of limits

	cold        Cold[K]
	coldBuckets map[K]*coldBucket
	lastShare   float64   // as last used for cold upstreams
	shareSince  time.Time // from which requests to cold upstreams are earned
}

// New returns a limiter that knows of no limits.
func New[K comparable](o Options) *Limiter[K] {
	return &Limiter[K]{opts: o, buckets: map[K]*bucket[K]{}, coldBuckets: map[K]*coldBucket{}}
}

// Observe applies a statement unless a newer one is known, and reports whether it changes a limit. A new limit begins
// without unused requests, as those before it were not counted.
func (l *Limiter[K]) Observe(s Statement[K]) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[s.Key]
	switch {
	case b == nil && !s.Limited:
		return false
	case b == nil:
		b = &bucket[K]{}
		l.buckets[s.Key] = b
	case s.At.Before(b.last.At):
		return false
	}
	before := b.last
	changed = before.Limited != s.Limited || before.Rate != s.Rate
	if changed {
		l.refill(b)
		l.changes++
		b.change = l.changes
	}
	if s.Limited && !before.Limited {
		l.limited++
		b.tokens, b.updated = 0, l.opts.Now()
	}
	if !s.Limited && before.Limited {
		l.limited--
	}
	b.last = s
	return changed
}

// rate returns the requests per second that this process may send.
func (l *Limiter[K]) rate(b *bucket[K]) float64 { return max(minRate, b.last.Rate) * l.opts.Share() }

// refill adds the requests that were earned since the last time. The caller holds mu.
func (l *Limiter[K]) refill(b *bucket[K]) {
	now := l.opts.Now()
	earned := l.rate(b) * now.Sub(b.updated).Seconds()
	b.tokens = min(max(1, b.last.Rate*burstTime.Seconds()), b.tokens+max(0, earned))
	b.updated = now
}

// IsLimited reports whether an upstream named a limit in its last answer, or is cold.
func (l *Limiter[K]) IsLimited(key K) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[key]
	return (b != nil && b.last.Limited) || l.ColdRate(key) > 0
}

// Wait returns the time until a request may be sent to an upstream; 0 if it may be now.
func (l *Limiter[K]) Wait(key K) time.Duration { return l.wait(key, false) }

// Take counts a request to an upstream if it may be sent now, else it returns the time until then.
func (l *Limiter[K]) Take(key K) time.Duration { return l.wait(key, true) }

// Spend counts a request that is sent in any case; later ones wait for longer.
func (l *Limiter[K]) Spend(key K) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[key]; b != nil && b.last.Limited {
		l.refill(b)
		b.tokens--
	}
	if b := l.coldBucket(key, l.ColdRate(key)); b != nil {
		b.tokens--
	}
}

func (l *Limiter[K]) wait(key K, take bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitFor(key, l.ColdRate(key), take)
}

// waitFor returns the time until a request may be sent to an upstream with a rate while it is cold, 0 if it is not. It
// counts the request if take is true and the request may be sent now. The caller holds mu.
func (l *Limiter[K]) waitFor(key K, coldRate float64, take bool) time.Duration {
	cold := l.coldBucket(key, coldRate)
	if l.limited == 0 && cold == nil {
		return 0
	}
	b := l.buckets[key]
	if b != nil && !b.last.Limited {
		b = nil
	}
	var wait time.Duration
	if b != nil {
		wait = l.until(b)
	}
	if cold != nil {
		wait = max(wait, l.untilCold(cold))
	}
	if wait > 0 || !take {
		return wait
	}
	if b != nil {
		b.tokens--
	}
	if cold != nil {
		cold.tokens--
	}
	return 0
}

// until returns the time until an upstream that named a limit accepts a request; 0 if it does now. The caller holds mu.
func (l *Limiter[K]) until(b *bucket[K]) time.Duration {
	l.refill(b)
	if b.tokens >= 1 {
		return 0
	}
	rate := l.rate(b)
	if missing := 1 - b.tokens; missing < rate*maxWait.Seconds() {
		return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
	}
	return maxWait
}

// Capacity returns the number of requests that an upstream accepts from this process within d; limited is false if it
// named no limit and is not cold.
func (l *Limiter[K]) Capacity(key K, d time.Duration) (requests float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests = math.Inf(1)
	if b := l.buckets[key]; b != nil && b.last.Limited {
		l.refill(b)
		requests, limited = b.tokens+l.rate(b)*d.Seconds(), true
	}
	if b := l.coldBucket(key, l.ColdRate(key)); b != nil {
		accepted := b.tokens
		if l.coldBurst()*l.lastShare >= 1 {
			accepted += l.coldPerSecond(b.rate) * l.lastShare * d.Seconds()
		}
		requests, limited = min(requests, accepted), true
	}
	if !limited {
		return 0, false
	}
	return requests, true
}

// Changes returns the last statements of the upstreams whose limits have changed since a number that was returned
// before, and the number of the last change; 0 stands for all.
func (l *Limiter[K]) Changes(since int64) ([]Statement[K], int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes == since {
		return nil, since
	}
	var out []Statement[K]
	for _, b := range l.buckets {
		if b.change > since {
			out = append(out, b.last)
		}
	}
	return out, l.changes
}

// Limited returns the number of upstreams that named a limit, and of cold ones whose requests are counted.
func (l *Limiter[K]) Limited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited + len(l.coldBuckets)
}

// Forget drops the upstreams for which keep returns false and that have said nothing for retention.
func (l *Limiter[K]) Forget(keep func(K) bool) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.coldBuckets {
		if l.ColdRate(key) == 0 && !now.Before(l.coldBuckets[key].updated.Add(maxWait)) {
			delete(l.coldBuckets, key)
		}
	}
	for key, b := range l.buckets {
		if keep(key) || now.Sub(b.last.At) < retention {
			continue
		}
		if b.last.Limited {
			l.limited--
		}
		delete(l.buckets, key)
	}
}
