package adapt

import (
	"math"
	"time"
)

const (
	minWindow          = 8   // samples between two adjustments, or as many as the limit if that is higher
	minCutFactor       = 0.7 // least factor by which one adjustment lowers the limit, before rounding
	maxFailureFraction = 0.5 // of the samples; above it the limit is lowered
)

// Options configure a limit.
type Options struct {
	// Floor is the lowest limit, in calls; 0 means 1.
	Floor int
	// Ceiling is the highest limit, in calls; 0 means 64, or Floor if that is higher.
	Ceiling int
	// Initial is the initial limit, in calls; 0 means halfway between Floor and Ceiling.
	Initial int
	// Target is the mean latency to hold; 0 keeps the limit at Ceiling.
	Target time.Duration
}

// WithDefaults returns a copy with each unset bound filled in.
func (o Options) WithDefaults() Options {
	if o.Floor <= 0 {
		o.Floor = 1
	}
	if o.Ceiling <= 0 {
		o.Ceiling = max(64, o.Floor)
	}
	o.Ceiling = max(o.Ceiling, o.Floor)
	if o.Initial <= 0 {
		o.Initial = (o.Floor + o.Ceiling + 1) / 2
	}
	if o.Target <= 0 {
		o.Initial = o.Ceiling
	}
	o.Initial = min(max(o.Initial, o.Floor), o.Ceiling)
	return o
}

// Limit is the number of calls that may run at once; it is not safe for concurrent use.
type Limit struct {
	opts      Options
	value     int
	samples   int           // since the last adjustment, like the fields below
	failures  int           // failed calls among the samples
	total     time.Duration // latency of the other samples
	saturated bool          // the limit was used up at least once
}

// New returns a limit at its initial value.
func New(o Options) *Limit {
	o = o.WithDefaults()
	return &Limit{opts: o, value: o.Initial}
}

// Set replaces the bounds and the target. The current limit changes only as far as the bounds require; without a target
// it becomes the ceiling.
func (l *Limit) Set(o Options) {
	l.opts = o.WithDefaults()
	if l.opts.Target <= 0 {
		l.value = l.opts.Ceiling
	}
	l.value = min(max(l.value, l.opts.Floor), l.opts.Ceiling)
}

// Value returns the current limit, in calls.
func (l *Limit) Value() int { return l.value }

// Observe adds the latency of a finished call; running counts this call and those still in flight.
func (l *Limit) Observe(latency time.Duration, failed bool, running int) {
	if l.opts.Target <= 0 {
		return
	}
	l.samples++
	if failed {
		l.failures++
	} else {
		l.total += latency
	}
	if running >= l.value {
		l.saturated = true
	}
	if l.samples >= max(minWindow, l.value) {
		l.adjust()
	}
}

// adjust lowers the limit when most calls failed or the mean latency exceeds the target, raises it when it was used up
// otherwise, and starts to count samples anew.
func (l *Limit) adjust() {
	good := l.samples - l.failures
	switch {
	case float64(l.failures) > maxFailureFraction*float64(l.samples):
		l.value = int(float64(l.value) * minCutFactor)
	case good > 0 && l.total/time.Duration(good) > l.opts.Target:
		mean := l.total / time.Duration(good)
		cut := max(minCutFactor, float64(l.opts.Target)/float64(mean))
		l.value = min(l.value-1, int(float64(l.value)*cut))
	case l.saturated:
		l.value += max(1, int(math.Sqrt(float64(l.value))/2))
	}
	l.value = min(max(l.value, l.opts.Floor), l.opts.Ceiling)
	l.samples, l.failures, l.total, l.saturated = 0, 0, 0, false
}
