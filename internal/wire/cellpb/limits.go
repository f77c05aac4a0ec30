package cellpb

import (
	"math"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// LimitsOf converts what upstreams said of their limits; its times become ages.
func LimitsOf(statements []pace.Statement[hosts.Lifetime], now time.Time) *Limits {
	m := &Limits{}
	for _, s := range statements {
		m.Limits = append(m.Limits, &Limit{
			Id: s.Key.ID, Born: s.Key.StartedMs, Limited: s.Limited, Rate: s.Rate, AgeUs: now.Sub(s.At).Microseconds(),
		})
	}
	return m
}

// Statements converts what upstreams said to another process of their limits; malformed ones are left out.
func (m *Limits) Statements(now time.Time) []pace.Statement[hosts.Lifetime] {
	var out []pace.Statement[hosts.Lifetime]
	for _, l := range m.Limits {
		if !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
			continue
		}
		out = append(out, pace.Statement[hosts.Lifetime]{
			Key: hosts.Lifetime{ID: l.Id, StartedMs: l.Born}, Limited: l.Limited, Rate: l.Rate, At: before(now, l.AgeUs),
		})
	}
	return out
}
