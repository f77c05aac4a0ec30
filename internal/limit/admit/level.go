package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	rateHalfLife  = 2 * time.Second
	levelInterval = 250 * time.Millisecond
	forgetBelow   = 0.01 // requests
)

// aged is the mean wait after a while without news.
func (w *wait) aged(now time.Time) time.Duration {
	return time.Duration(float64(w.mean) * decay(now.Sub(w.at), waitHalfLife))
}

type teamRate struct {
	weight   float64
	requests float64 // decayed count
	at       time.Time
}

// level is the request rate per weight up to which teams are admitted whole under overload.
type level struct {
	teams map[string]*teamRate
	part  float64
	value float64
	at    time.Time
}

func newLevel() *level { return &level{teams: map[string]*teamRate{}} }

func (l *level) count(team string, weight float64, now time.Time) {
	t := l.teams[team]
	if t == nil {
		t = &teamRate{}
		l.teams[team] = t
	}
	if weight <= 0 {
		weight = 1
	}
	t.requests = t.aged(now) + 1
	t.weight = weight
	t.at = now
}

// admitted returns the part of a team's requests to admit when part of all may be.
func (l *level) admitted(team string, part float64, now time.Time) float64 {
	if now.Sub(l.at) >= levelInterval {
		l.at = now
		l.part = part
		l.fill(now)
	}
	t := l.teams[team]
	return min(1, l.value*t.weight/t.aged(now))
}

// fill sets the level so that the teams' admitted requests make up the part of all, the smaller teams served first.
func (l *level) fill(now time.Time) {
	var rates []teamRate
	left, weights := 0.0, 0.0
	for name, t := range l.teams {
		n := t.aged(now)
		if n < forgetBelow {
			delete(l.teams, name)
			continue
		}
		rates = append(rates, teamRate{weight: t.weight, requests: n})
		left += l.part * n
		weights += t.weight
	}
	slices.SortFunc(rates, func(a, b teamRate) int { return cmp.Compare(a.requests/a.weight, b.requests/b.weight) })
	l.value = math.Inf(1)
	for _, r := range rates {
		l.value = left / weights
		if r.requests/r.weight >= l.value {
			return
		}
		left -= r.requests
		weights -= r.weight
	}
}

func (t *teamRate) aged(now time.Time) float64 {
	return t.requests * decay(now.Sub(t.at), rateHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
