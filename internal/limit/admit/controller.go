package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	defaultLow   = 800 * time.Millisecond
	defaultHigh  = 1800 * time.Millisecond
	waitWeight   = 0.1
	waitHalfLife = time.Second
	retryFloor   = 500 * time.Millisecond
	longFactor   = 2 // by which long requests may wait longer than short ones
)

// Options configure a controller; a zero field takes its default.
type Options struct {
	// Low is the expected wait from which requests are refused at random, 800 ms by default.
	Low time.Duration
	// High is the expected wait at which every request is refused, 1.8 s by default.
	High time.Duration
}

func (o Options) withDefaults() Options {
	if o.Low <= 0 {
		o.Low = defaultLow
	}
	if o.High <= o.Low {
		o.High = max(defaultHigh, 2*o.Low)
	}
	return o
}

// Stage is one stage of a request: the pool that runs it and the time it is expected to take.
type Stage struct {
	Pool     string
	Estimate time.Duration
}

// Request describes a request that asks to be admitted.
type Request struct {
	Team      string
	Weight    float64 // of the team under overload; 0 means 1
	SizeClass pipe.SizeClass
	Remaining time.Duration
	Stages    []Stage
}

type key struct {
	pool  string
	class pipe.SizeClass
}

// wait is the smoothed wait of a pool's calls of one size class.
type wait struct {
	mean time.Duration
	at   time.Time
}

// Controller admits or refuses the requests of one entry; it is safe for concurrent use.
type Controller struct {
	opts  Options
	mu    sync.Mutex
	rng   *rand.Rand
	waits map[key]*wait
	fair  map[pipe.SizeClass]*level
}

// New returns a controller that draws from rng.
func New(rng *rand.Rand, o Options) *Controller {
	return &Controller{
		opts:  o.withDefaults(),
		rng:   rng,
		waits: map[key]*wait{},
		fair:  map[pipe.SizeClass]*level{},
	}
}

// Observe takes the expected wait of a new call that a side reported.
func (c *Controller) Observe(pool string, class pipe.SizeClass, expected time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wait(pool, class)
	mean := w.aged(now)
	w.mean = mean + time.Duration(waitWeight*float64(expected-mean))
	w.at = now
}

// ObserveRefusal counts a side's refusal for overload as the longest expected wait.
func (c *Controller) ObserveRefusal(pool string, class pipe.SizeClass, now time.Time) {
	high := c.opts.High
	if class == pipe.Long {
		high *= longFactor
	}
	c.Observe(pool, class, high, now)
}

// Admit returns nil, or a NotRun *fault.Error when the request should not be started.
func (c *Controller) Admit(q Request, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var need, longest time.Duration
	for _, n := range q.Stages {
		need += n.Estimate
		longest = max(longest, c.wait(n.Pool, q.SizeClass).aged(now))
	}
	if need > q.Remaining {
		return fault.New(fault.NotRun, fault.TooLate, "needs %v of the remaining %v", need, q.Remaining)
	}
	l := c.fair[q.SizeClass]
	if l == nil {
		l = newLevel()
		c.fair[q.SizeClass] = l
	}
	l.count(q.Team, q.Weight, now)
	if q.SizeClass == pipe.Long {
		longest /= longFactor
	}
	refuse := float64(longest-c.opts.Low) / float64(c.opts.High-c.opts.Low)
	if refuse <= 0 {
		return nil
	}
	if c.rng.Float64() < l.admitted(q.Team, 1-min(1, refuse), now) {
		return nil
	}
	return fault.New(fault.NotRun, fault.Overloaded, "calls wait %v", longest).WithRetryAfter(max(retryFloor, longest))
}

func (c *Controller) wait(pool string, class pipe.SizeClass) *wait {
	k := key{pool, class}
	w := c.waits[k]
	if w == nil {
		w = &wait{}
		c.waits[k] = w
	}
	return w
}
