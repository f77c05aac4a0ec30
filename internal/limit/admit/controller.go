package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const (
	defaultLow     = 800 * time.Millisecond
	defaultHigh    = 1800 * time.Millisecond
	waitSmoothing  = 0.1         // weight of a new report in the smoothed expected wait
	waitHalfLife   = time.Second // in which a smoothed wait halves without a report
	minRetryAfter  = 500 * time.Millisecond
	longWaitFactor = 2 // a long request may wait so many times as long as a short one
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
	Weight    float64 // fair share weight of the team; 0 means 1
	SizeClass pipe.SizeClass
	Remaining time.Duration // until the deadline
	Stages    []Stage
}

// waitKey identifies the calls that wait alike.
type waitKey struct {
	pool  string
	class pipe.SizeClass
}

// smoothedWait is the smoothed expected wait of a pool's calls of one size class.
type smoothedWait struct {
	mean    time.Duration // at updated
	updated time.Time     // time of the last report
}

// Controller admits or refuses the requests of one entry; it is safe for concurrent use.
type Controller struct {
	opts   Options
	mu     sync.Mutex
	rng    *rand.Rand
	waits  map[waitKey]*smoothedWait
	shares map[pipe.SizeClass]*fairShare
}

// New returns a controller that draws from rng.
func New(rng *rand.Rand, o Options) *Controller {
	return &Controller{
		opts:   o.withDefaults(),
		rng:    rng,
		waits:  map[waitKey]*smoothedWait{},
		shares: map[pipe.SizeClass]*fairShare{},
	}
}

// Observe adds an expected wait that a sidecar reported for new calls of a pool.
func (c *Controller) Observe(pool string, class pipe.SizeClass, expected time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waitOf(pool, class)
	mean := w.decayed(now)
	w.mean = mean + time.Duration(waitSmoothing*float64(expected-mean))
	w.updated = now
}

// ObserveRefusal counts a sidecar's refusal for overload as an expected wait at which every request is refused.
func (c *Controller) ObserveRefusal(pool string, class pipe.SizeClass, now time.Time) {
	high := c.opts.High
	if class == pipe.Long {
		high *= longWaitFactor
	}
	c.Observe(pool, class, high, now)
}

// Admit returns nil, or a NotRun *fault.Error when the request must not be started.
func (c *Controller) Admit(r Request, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var estimate, longest time.Duration
	for _, stage := range r.Stages {
		estimate += stage.Estimate
		longest = max(longest, c.waitOf(stage.Pool, r.SizeClass).decayed(now))
	}
	if estimate > r.Remaining {
		return fault.New(fault.NotRun, fault.TooLate, "needs %v of the remaining %v", estimate, r.Remaining)
	}
	share := c.shares[r.SizeClass]
	if share == nil {
		share = newFairShare()
		c.shares[r.SizeClass] = share
	}
	share.count(r.Team, r.Weight, now)
	if r.SizeClass == pipe.Long {
		longest /= longWaitFactor
	}
	refusal := float64(longest-c.opts.Low) / float64(c.opts.High-c.opts.Low)
	if refusal <= 0 {
		return nil
	}
	if c.rng.Float64() < share.admitProbability(r.Team, 1-min(1, refusal), now) {
		return nil
	}
	return fault.New(fault.NotRun, fault.Overloaded, "calls wait %v", longest).WithRetryAfter(max(minRetryAfter, longest))
}

// waitOf returns the smoothed wait of a pool and size class, 0 before the first report.
func (c *Controller) waitOf(pool string, class pipe.SizeClass) *smoothedWait {
	k := waitKey{pool, class}
	w := c.waits[k]
	if w == nil {
		w = &smoothedWait{}
		c.waits[k] = w
	}
	return w
}
