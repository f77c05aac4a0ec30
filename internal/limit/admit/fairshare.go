package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	rateHalfLife    = 2 * time.Second        // of the decayed count of requests
	shareInterval   = 250 * time.Millisecond // between computations of the fair shares
	minTeamRequests = 0.01                   // teams with fewer decayed requests are dropped
)

// decayed returns the mean wait, halved for each half-life without a report.
func (w *smoothedWait) decayed(now time.Time) time.Duration {
	return time.Duration(float64(w.mean) * decay(now.Sub(w.updated), waitHalfLife))
}

// teamRate is the recent request rate of a team, as a decayed count.
type teamRate struct {
	weight   float64
	requests float64 // at updated
	updated  time.Time
}

// fairShare holds the request rates of the teams and their max-min fair shares when only a fraction of all requests is
// admitted.
type fairShare struct {
	teams     map[string]*teamRate
	fraction  float64 // of all requests to admit
	perWeight float64 // fair share of a team, in decayed requests per weight
	updated   time.Time
}

func newFairShare() *fairShare { return &fairShare{teams: map[string]*teamRate{}} }

// count adds a request to the rate of its team.
func (s *fairShare) count(team string, weight float64, now time.Time) {
	t := s.teams[team]
	if t == nil {
		t = &teamRate{}
		s.teams[team] = t
	}
	if weight <= 0 {
		weight = 1
	}
	t.requests = t.decayed(now) + 1
	t.weight = weight
	t.updated = now
}

// admitProbability returns the probability of admitting a request of team when fraction of all requests is admitted.
func (s *fairShare) admitProbability(team string, fraction float64, now time.Time) float64 {
	if now.Sub(s.updated) >= shareInterval {
		s.updated = now
		s.fraction = fraction
		s.recompute(now)
	}
	t := s.teams[team]
	return min(1, s.perWeight*t.weight/t.decayed(now))
}

// recompute sets the rate per weight at which the admitted requests of all teams add up to the fraction. Teams below
// that rate are admitted whole.
func (s *fairShare) recompute(now time.Time) {
	var rates []teamRate
	remaining, weights := 0.0, 0.0
	for name, t := range s.teams {
		n := t.decayed(now)
		if n < minTeamRequests {
			delete(s.teams, name)
			continue
		}
		rates = append(rates, teamRate{weight: t.weight, requests: n})
		remaining += s.fraction * n
		weights += t.weight
	}
	slices.SortFunc(rates, func(a, b teamRate) int { return cmp.Compare(a.requests/a.weight, b.requests/b.weight) })
	s.perWeight = math.Inf(1)
	for _, r := range rates {
		s.perWeight = remaining / weights
		if r.requests/r.weight >= s.perWeight {
			return
		}
		remaining -= r.requests
		weights -= r.weight
	}
}

// decayed returns the count of requests, halved for each half-life since the last one.
func (t *teamRate) decayed(now time.Time) float64 {
	return t.requests * decay(now.Sub(t.updated), rateHalfLife)
}

// decay returns the factor by which a value of this age has decayed.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
