package pace

import (
	"math"
	"time"
)

// takeoverDelay is how long a process whose share has grown sends nothing to cold upstreams. By then the process that had
// the share before has noticed that others no longer follow it.
const takeoverDelay = time.Second

// maxShares is the upper bound of the sum of Part over all groups of processes: 1 for at most one group that has more
// than half of all, and less than a half for the others together.
const maxShares = 1.5

// Part returns the share of a limit that a process may use for a group that follows it, itself included, of all
// processes. It is 1 for a group of more than half, as there is one at most.
func Part(group, all int) float64 {
	if 2*group > all {
		return 1
	}
	return float64(group) / float64(all)
}

// Cold describes the limits of cold upstreams, which do not name them in answers.
type Cold[K comparable] struct {
	// Rate returns the requests per second that a cold upstream accepts from all processes together; cold is false for
	// any other.
	Rate func(K) (rate float64, cold bool)
	// Share is the part of each limit that this process may use, from 0 to 1; see Part.
	Share func() float64
	// Bound returns what a cold upstream bears in any second: overshoot times its rate, and slack requests.
	Bound func() (overshoot, slack float64)
}

// coldBucket holds the requests that a cold upstream accepts now.
type coldBucket struct {
	rate    float64
	tokens  float64
	updated time.Time
}

// LimitCold makes the limiter keep the limits of cold upstreams, too. It must be called before any other method.
func (l *Limiter[K]) LimitCold(c Cold[K]) { l.cold = c }

// ColdRate returns the rate of a cold upstream, in requests per second from all processes together; 0 if it is not cold.
func (l *Limiter[K]) ColdRate(key K) float64 {
	if l.cold.Rate == nil {
		return 0
	}
	if rate, cold := l.cold.Rate(key); cold {
		return rate
	}
	return 0
}

// TakeCold does the same as Take for an upstream that another process knows to be cold with a rate. A rate that is no
// positive finite number is ignored.
func (l *Limiter[K]) TakeCold(key K, rate float64) time.Duration {
	if !(rate > 0) || math.IsInf(rate, 0) || l.cold.Rate == nil {
		rate = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitFor(key, max(rate, l.ColdRate(key)), true)
}

// coldBucket returns the bucket of an upstream with a rate, refilled; nil if the rate is 0. It begins without unused
// requests, as those before it were not counted. The caller holds mu.
func (l *Limiter[K]) coldBucket(key K, rate float64) *coldBucket {
	b := l.coldBuckets[key]
	if rate <= 0 {
		if b != nil {
			delete(l.coldBuckets, key)
		}
		return nil
	}
	now := l.opts.Now()
	share := l.coldShare(now)
	if b == nil {
		b = &coldBucket{updated: now}
		l.coldBuckets[key] = b
	}
	b.rate = rate
	if b.updated.Before(l.shareSince) {
		b.tokens, b.updated = 0, l.shareSince
	}
	if earned := l.coldPerSecond(rate) * share * now.Sub(b.updated).Seconds(); earned > 0 {
		b.tokens = min(l.coldBurst()*share, b.tokens+earned)
	}
	b.updated = later(now, b.updated)
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// coldShare returns the share of this process in the limits of cold upstreams. While it has grown less than takeoverDelay
// ago, it earns nothing. The caller holds mu.
func (l *Limiter[K]) coldShare(now time.Time) float64 {
	share := l.cold.Share()
	if share > l.lastShare {
		l.shareSince = now.Add(takeoverDelay)
	}
	l.lastShare = share
	return share
}

// ObserveShare notes the share of this process. It must be called more often than takeoverDelay, as the share may shrink and
// grow again while no cold upstream is asked for.
func (l *Limiter[K]) ObserveShare() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldShare(l.opts.Now())
}

// coldPerSecond returns the part of a rate that all shares together may use: with maxShares it stays within the overshoot.
func (l *Limiter[K]) coldPerSecond(rate float64) float64 {
	overshoot, _ := l.cold.Bound()
	return rate * min(1, overshoot/maxShares)
}

// coldBurst returns the unused requests that all shares together may keep: with maxShares they stay within the slack. A
// process whose part of them is less than one sends nothing to cold upstreams.
func (l *Limiter[K]) coldBurst() float64 {
	_, slack := l.cold.Bound()
	return slack / maxShares
}

// untilCold returns the time until a cold upstream accepts a request; 0 if it does now. The caller holds mu.
func (l *Limiter[K]) untilCold(b *coldBucket) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	share := l.lastShare
	perSecond := l.coldPerSecond(b.rate) * share
	if l.coldBurst()*share < 1 || perSecond <= 0 {
		return maxWait
	}
	wait := time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
	return min(maxWait, max(time.Millisecond, wait+max(0, b.updated.Sub(l.opts.Now()))))
}

// Cold returns the number of cold upstreams whose requests are counted.
func (l *Limiter[K]) Cold() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.coldBuckets)
}
