package share_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/share"
)

const (
	limit  = 100.0 // requests a second
	warmUp = 30    // seconds
	length = 120   // seconds
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// method is a way to enforce a team's limit over all entries.
type method interface {
	allow(entry int, now time.Time) bool
	// gossip runs once a second and returns the number of messages sent.
	gossip(now time.Time, rng *rand.Rand) int
}

// even gives each entry a fixed, equal share of the limit.
type even struct{ tokens []float64 }

func newEven(n int) *even { return &even{tokens: make([]float64, n)} }

func (m *even) allow(i int, _ time.Time) bool { return spend(&m.tokens[i]) }

func (m *even) gossip(time.Time, *rand.Rand) int {
	for i := range m.tokens {
		m.tokens[i] = min(1+limit/float64(len(m.tokens)), m.tokens[i]+limit/float64(len(m.tokens)))
	}
	return 0
}

// central grants the limit from one place each second, by the demand that the entries reported for the last second.
type central struct {
	tokens []float64
	demand []float64
}

func newCentral(n int) *central {
	return &central{tokens: make([]float64, n), demand: make([]float64, n)}
}

func (m *central) allow(i int, _ time.Time) bool {
	m.demand[i]++
	return spend(&m.tokens[i])
}

func (m *central) gossip(time.Time, *rand.Rand) int {
	total := 0.0
	for _, d := range m.demand {
		total += d
	}
	for i, d := range m.demand {
		if total > 0 {
			part := limit * d / total
			m.tokens[i] = min(1+part, m.tokens[i]+part)
		}
		m.demand[i] = 0
	}
	return 2 * len(m.tokens)
}

// loans gives each entry an equal share of the limit; an entry that runs out of tokens takes half of a random peer's.
// DHCP servers that share an address pool lend each other free addresses in the same way.
type loans struct {
	tokens []float64
	short  []bool
}

func newLoans(n int) *loans { return &loans{tokens: make([]float64, n), short: make([]bool, n)} }

func (m *loans) allow(i int, _ time.Time) bool {
	ok := spend(&m.tokens[i])
	m.short[i] = m.short[i] || !ok
	return ok
}

func (m *loans) gossip(_ time.Time, rng *rand.Rand) (messages int) {
	n := float64(len(m.tokens))
	for i := range m.tokens {
		m.tokens[i] = min(10*limit/n, m.tokens[i]+limit/n)
	}
	for i := range m.tokens {
		if !m.short[i] {
			continue
		}
		m.short[i] = false
		peer := rng.IntN(len(m.tokens))
		messages += 2
		if peer != i && !m.short[peer] {
			m.tokens[i] += m.tokens[peer] / 2
			m.tokens[peer] /= 2
		}
	}
	return messages
}

// gossipMeans is the method of this package, with a fraction of the answers lost.
type gossipMeans struct {
	limiters []*share.Limiter
	lost     float64
}

func newGossipMeans(n int, lost float64) *gossipMeans {
	m := &gossipMeans{lost: lost}
	for range n {
		l := share.New()
		l.Set(map[string]float64{"a": limit}, n, start)
		m.limiters = append(m.limiters, l)
	}
	return m
}

func (m *gossipMeans) allow(i int, now time.Time) bool {
	ok, _ := m.limiters[i].Allow("a", now)
	return ok
}

func (m *gossipMeans) gossip(now time.Time, rng *rand.Rand) (messages int) {
	for i, l := range m.limiters {
		demands := l.Offer(now)
		peer := rng.IntN(len(m.limiters))
		if len(demands) == 0 || peer == i {
			continue
		}
		messages += 2
		answer := m.limiters[peer].Answer(demands, now)
		if rng.Float64() >= m.lost {
			l.Apply(answer, now)
		}
	}
	return messages
}

// spend takes one token, if there is one.
func spend(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// placement returns the entry that gets a request arriving at the given second.
type placement func(n int, second float64, rng *rand.Rand) int

// spreadOver places requests on all entries alike.
func spreadOver(n int, _ float64, rng *rand.Rand) int { return rng.IntN(n) }

// onOneInFour places requests on the first quarter of the entries.
func onOneInFour(n int, _ float64, rng *rand.Rand) int { return rng.IntN(max(1, n/4)) }

// wandering places requests on a twentieth of the entries, at least one, and moves to others every 40 s.
func wandering(n int, second float64, rng *rand.Rand) int {
	width := max(1, n/20)
	return (int(second/40)*width + rng.IntN(width)) % n
}

// simulate offers 10 times the limit. It returns the relative deviation of the admitted rate from the limit, and the
// messages per entry and second.
func simulate(m method, n int, place placement) (deviation, messages float64) {
	rng := rand.New(rand.NewPCG(7, uint64(n)))
	admitted := 0
	sent := 0
	second := 0.0
	next := 1.0
	for second < length {
		second += rng.ExpFloat64() / (10 * limit)
		for ; next <= second; next++ {
			sent += m.gossip(start.Add(time.Duration(next)*time.Second), rng)
		}
		now := start.Add(time.Duration(second * float64(time.Second)))
		if m.allow(place(n, second, rng), now) && second >= warmUp {
			admitted++
		}
	}
	deviation = float64(admitted)/(limit*(length-warmUp)) - 1
	return deviation, float64(sent) / length / float64(n)
}

// All methods are compared, but only the one of this package must hold the limit, and only while requests do not
// wander and no messages are lost.
func TestLimitOverAllEntries(t *testing.T) {
	for name, place := range map[string]placement{"spread": spreadOver, "oneInFour": onOneInFour, "wandering": wandering} {
		for _, n := range []int{4, 360} {
			for methodName, m := range map[string]method{
				"even": newEven(n), "central": newCentral(n), "pools": newLoans(n),
				"moving": newGossipMeans(n, 0), "movingLossy": newGossipMeans(n, 0.1),
			} {
				deviation, messages := simulate(m, n, place)
				t.Logf("%-9s %3d entries %-11s error %+.3f, messages per entry and second %.2f",
					name, n, methodName, deviation, messages)
				if methodName == "moving" && name != "wandering" {
					qt.Check(t, math.Abs(deviation) <= 0.1, qt.IsTrue,
						qt.Commentf("%s at %d entries: error %.3f", name, n, deviation))
				}
			}
		}
	}
}
