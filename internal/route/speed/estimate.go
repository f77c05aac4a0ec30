package speed

import (
	"math"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
)

// SlowFactor is the multiple of the usual duration from which on an upstream counts as slow.
const SlowFactor = 1.7

const (
	fadeTime      = 150 * time.Millisecond // time constant with which a sample fades to the usual value
	averagingTime = 5 * time.Second        // time constant of the average of the figures of an upstream
	usualPercent  = 100                    // figure of an upstream that runs as usual
	smoothing     = 0.4                    // weight of a new call in the slowness
	minFactor     = 0.25                   // bounds of the factors of a duration: hosts run at 0.7 to 1.7 of the usual
	maxFactor     = 4.25                   // speed, and other work slows them 2.5 times
	classRatio    = 1.25                   // durations that differ by less are the same class
)

// Estimate is what is known of the speed of one upstream; it is immutable.
type Estimate struct {
	slowness float64 // ratio of the durations of calls to the usual ones, smoothed
	hasLoad  bool
	load     call.Load // newest sample
	sampled  time.Time // when it arrived
	average  float64   // of the time figures of the upstream, in percent
}

// New returns the estimate for an upstream of which nothing is known.
func New() Estimate { return Estimate{slowness: 1, average: usualPercent} }

// HasLoad reports whether the upstream has ever stated its load.
func (e Estimate) HasLoad() bool { return e.hasLoad }

// Slowness returns the learned ratio of the durations of calls to the usual ones.
func (e Estimate) Slowness() float64 { return e.slowness }

// Slow reports whether the upstream is learned to be slow.
func (e Estimate) Slow() bool { return e.slowness > SlowFactor }

// Age returns the time since the newest sample, and false if there is none.
func (e Estimate) Age(now time.Time) (time.Duration, bool) { return now.Sub(e.sampled), e.hasLoad }

// Load returns the newest sample.
func (e Estimate) Load() call.Load { return e.load }

// WithLoad returns the estimate after a sample that arrived at the given time. An older sample than the newest one
// changes nothing.
func (e Estimate) WithLoad(l call.Load, at time.Time) Estimate {
	if e.hasLoad && at.Before(e.sampled) {
		return e
	}
	if l.TimePercent > 0 && e.hasLoad {
		weight := 1 - math.Exp(-float64(at.Sub(e.sampled))/float64(averagingTime))
		e.average += weight * (min(maxFactor*usualPercent, float64(l.TimePercent)) - e.average)
	}
	e.hasLoad, e.load, e.sampled = true, l, at
	return e
}

// WithCall returns the estimate after a call of the given usual duration that has taken elapsed until now, and whose
// reference was the given one when it began. A single call of normal duration clears a slow upstream, because a slow call may just have waited behind
// calls of another client.
func (e Estimate) WithCall(elapsed, usual, reference time.Duration, now time.Time) Estimate {
	if e.hasLoad && e.sampled.After(now.Add(-elapsed)) {
		// The sample came during the call, so it explains a part of the duration too. During a short call it and the one
		// before say the same.
		before, after := float64(reference)/float64(usual)-1, e.deviation(elapsed, now)-1
		factor := 1 + (before+after)/max(1, 2*meanFade(elapsed))
		reference = time.Duration(max(minFactor, factor) * float64(usual))
	}
	ratio := float64(elapsed) / float64(reference)
	if ratio < SlowFactor {
		e.slowness = min(e.slowness, SlowFactor)
	}
	e.slowness += smoothing * (ratio - e.slowness)
	return e
}

// Reference returns how long a call of the given usual duration that begins now would take here if the upstream were as
// fast as the others of its pool. It is the usual duration if the upstream never stated its load.
func (e Estimate) Reference(usual time.Duration, now time.Time) time.Duration {
	if !e.hasLoad || usual <= 0 {
		return usual
	}
	// The upstream may count the request that it answered as running, so that only what exceeds its slots waits.
	waiting := float64(max(0, e.load.Running+e.load.Waiting-e.load.Slots)) / float64(max(1, e.load.Slots))
	factor := e.deviation(usual, now) + waiting*fade(now.Sub(e.sampled))
	return time.Duration(min(maxFactor, max(minFactor, factor)) * float64(usual))
}

// Duration returns how long a call of the given usual duration that begins now takes here. It is the usual duration if
// the upstream never stated its load.
func (e Estimate) Duration(usual time.Duration, now time.Time) time.Duration {
	if !e.hasLoad {
		return usual
	}
	factor := min(maxFactor, max(minFactor, e.slowness))
	return min(time.Duration(maxFactor*float64(usual)), time.Duration(factor*float64(e.Reference(usual, now))))
}

// deviation returns the mean, over a call of the given duration that begins or ends now, of the ratio of the time figure to
// its average.
func (e Estimate) deviation(duration time.Duration, now time.Time) float64 {
	if e.load.TimePercent == 0 || duration <= 0 {
		return 1
	}
	ratio := min(maxFactor, max(minFactor, float64(e.load.TimePercent)/e.average))
	return 1 + (ratio-1)*meanFade(duration)*fade(now.Sub(e.sampled))
}

// meanFade returns the mean part of a new sample that is left during the given time, from 0 to 1.
func meanFade(during time.Duration) float64 {
	length := float64(during) / float64(fadeTime)
	return (1 - math.Exp(-length)) / length
}

// fade returns the part of a sample that is left at the given age, from 0 to 1.
func fade(age time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(fadeTime)) }

// Typical returns the median of the durations of the same call at the upstreams of a pool; 0 if there are none.
func Typical(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[(len(sorted)-1)/2]
}

// Class ranks an upstream where a call takes the given duration against the typical one of its pool: 0 unless it is
// slower. That no upstream ranks before the typical ones keeps processes that do not know of each other from choosing the
// same one, which looked free.
func Class(duration, typical time.Duration) int {
	if typical <= 0 || duration <= typical {
		return 0
	}
	return int(math.Log(float64(duration)/float64(typical)) / math.Log(classRatio))
}

// Size returns the number of pieces, from 1 to most, that take no longer than SlowFactor typical full calls. A call takes
// fixed and each for each of its pieces, multiplied by factor, the ratio of a duration here to the typical one.
func Size(most int, fixed, each time.Duration, factor float64) int {
	if factor <= SlowFactor || each <= 0 {
		return most
	}
	full := fixed + time.Duration(most)*each
	pieces := (SlowFactor*float64(full)/factor - float64(fixed)) / float64(each)
	return min(most, max(1, int(pieces)))
}
