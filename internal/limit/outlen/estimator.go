package outlen

import (
	"maps"
	"time"
)

const (
	initialTokens = 1024             // of a request of which nothing is known
	hintFactor    = 2                // by which an answer may exceed its caller's estimate
	expectedPart  = 0.5              // of the maximum that is expected without an estimate
	smoothing     = 0.05             // of the expected length
	routeTTL      = 10 * time.Minute // after its last request a route is forgotten
)

// Estimator learns the lengths of answers by route. It is not safe for concurrent use.
type Estimator struct{ routes map[string]*route }

// route holds what its requests have stated.
type route struct {
	most     int     // largest maximum
	expected float64 // mean of the estimates
	seen     time.Time
}

// New returns an Estimator that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe learns from a request with an estimate and a maximum of its output tokens, 0 for none.
func (e *Estimator) Observe(name string, hint, limit int, now time.Time) {
	if hint <= 0 && limit <= 0 {
		return
	}
	r := e.routes[name]
	if r == nil {
		r = &route{}
		e.routes[name] = r
	}
	r.seen = now
	r.most = max(r.most, limit, hintFactor*hint)
	if hint > 0 {
		if r.expected == 0 {
			r.expected = float64(hint)
		}
		r.expected += smoothing * (float64(hint) - r.expected)
	}
}

// Most returns the output tokens that an answer may have at most.
func (e *Estimator) Most(name string, hint, limit int) int {
	if limit > 0 {
		return limit
	}
	if r := e.routes[name]; r != nil {
		return max(r.most, hintFactor*hint)
	}
	return max(initialTokens, hintFactor*hint)
}

// Expected returns the output tokens that an answer is expected to have.
func (e *Estimator) Expected(name string, hint, limit int) int {
	most := e.Most(name, hint, limit)
	if hint > 0 {
		return min(hint, most)
	}
	if r := e.routes[name]; r != nil && r.expected > 0 {
		return min(int(r.expected), most)
	}
	return int(expectedPart * float64(most))
}

// Sweep forgets routes without requests of late.
func (e *Estimator) Sweep(now time.Time) {
	maps.DeleteFunc(e.routes, func(_ string, r *route) bool { return now.Sub(r.seen) > routeTTL })
}
