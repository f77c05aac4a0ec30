package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// EpochLength is the time after which the mean is restarted, to drop the errors left by lost messages.
	EpochLength = 30 * time.Second

	demandHalfLife  = 3 * time.Second
	burstTime       = time.Second // so much of the granted rate may be used at once
	minBurst        = 1           // requests
	maxDemands      = 20          // in one message
	minActiveDemand = 0.5         // of the even share; a lower demand is not gossiped
	minRate         = 1e-6        // requests a second; keeps divisions by a rate finite
	minGrant        = 0.01        // of the even share, granted in any case
)

// TeamDemand is what entries gossip about one team.
type TeamDemand struct {
	Team  string
	Epoch int64
	// Mean is the estimated mean demand per entry, in requests a second; in an answer, the correction to add to it.
	Mean float64
	// Previous is the same as Mean, averaged since the start of the previous epoch.
	Previous float64
}

// account is one team's demand and granted rate at this entry.
type account struct {
	limit   float64 // over all entries, in requests a second
	limiter *rate.Limiter

	demand  float64 // smoothed, in requests a second
	updated time.Time

	active        bool
	counted       float64 // demand already included in the means
	epoch         int64
	mean          float64 // averaged since the start of the epoch
	previous      float64 // averaged since the start of the previous epoch
	previousValid bool    // previous was averaged over the whole previous epoch
}

// Limiter holds the rate limits of all teams at one entry; it is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	entries  int
	accounts map[string]*account
}

// New returns a limiter without limits.
func New() *Limiter {
	return &Limiter{entries: 1, accounts: map[string]*account{}}
}

// Set replaces the limits of the teams, in requests a second over all entries, and the number of live entries.
func (l *Limiter) Set(limits map[string]float64, entries int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(1, entries)
	for team := range l.accounts {
		if _, ok := limits[team]; !ok {
			delete(l.accounts, team)
		}
	}
	for team, limit := range limits {
		a := l.accounts[team]
		if a == nil {
			a = &account{updated: now}
			a.limiter = rate.NewLimiter(0, minBurst)
			l.accounts[team] = a
		}
		a.limit = limit
		l.grant(a, now)
	}
}

// Allow reports whether a request of the team is within this entry's share, and if not, after which time to retry. A
// team without a limit is always allowed.
func (l *Limiter) Allow(team string, now time.Time) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[team]
	if a == nil {
		return true, 0
	}
	a.count(now)
	l.grant(a, now)
	if a.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - a.limiter.TokensAt(now)
	return false, time.Duration(missing / max(float64(a.limiter.Limit()), minRate) * float64(time.Second))
}

// Granted returns the rate at which this entry admits requests of a team, in requests a second; -1 without a limit.
func (l *Limiter) Granted(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team]; a != nil {
		return float64(a.limiter.Limit())
	}
	return -1
}

// Offer returns the demands to send to a peer.
func (l *Limiter) Offer(now time.Time) []TeamDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var demands []TeamDemand
	for team, a := range l.accounts {
		l.refresh(a, now)
		if a.active {
			demands = append(demands, TeamDemand{Team: team, Epoch: a.epoch, Mean: a.mean, Previous: a.previous})
		}
	}
	return l.furthestOver(demands)
}

// furthestOver returns the demands of the teams that are furthest over their limits, at most maxDemands.
func (l *Limiter) furthestOver(demands []TeamDemand) []TeamDemand {
	slices.SortFunc(demands, func(x, y TeamDemand) int {
		if c := cmp.Compare(l.excess(y), l.excess(x)); c != 0 {
			return c
		}
		return cmp.Compare(x.Team, y.Team)
	})
	return demands[:min(len(demands), maxDemands)]
}

// excess returns the mean demand as a multiple of the limit, to order teams by.
func (l *Limiter) excess(d TeamDemand) float64 { return d.Mean / l.accounts[d.Team].limit }

// Answer averages its means with a peer's demands, and returns the corrections that the peer must add to its own means.
func (l *Limiter) Answer(demands []TeamDemand, now time.Time) []TeamDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []TeamDemand
	for _, d := range demands {
		a := l.accounts[d.Team]
		if a == nil {
			continue
		}
		l.refresh(a, now)
		if !a.active {
			a.activate(d.Epoch)
		}
		if a.epoch != d.Epoch {
			continue
		}
		correction := TeamDemand{Team: d.Team, Epoch: d.Epoch,
			Mean: (a.mean - d.Mean) / 2, Previous: (a.previous - d.Previous) / 2}
		a.mean -= correction.Mean
		a.previous -= correction.Previous
		l.grant(a, now)
		out = append(out, correction)
	}
	return out
}

// Apply adds the corrections in a peer's answer to the means.
func (l *Limiter) Apply(corrections []TeamDemand, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range corrections {
		a := l.accounts[c.Team]
		if a == nil || !a.active || a.epoch != c.Epoch {
			continue
		}
		a.mean += c.Mean
		a.previous += c.Previous
		l.grant(a, now)
	}
}

// refresh updates the means to the current demand and epoch.
func (l *Limiter) refresh(a *account, now time.Time) {
	epoch := now.UnixNano() / int64(EpochLength)
	demand := a.smoothed(now)
	even := a.limit / float64(l.entries)
	if !a.active {
		if demand < minActiveDemand*even {
			return
		}
		a.activate(epoch)
	}
	a.mean += demand - a.counted
	a.previous += demand - a.counted
	a.counted = demand
	if a.epoch != epoch {
		a.previous = a.mean
		a.mean = demand
		a.previousValid = a.epoch == epoch-1
		a.epoch = epoch
	}
	if demand < minActiveDemand*even && max(a.mean, a.previous) < minActiveDemand*even/float64(l.entries) {
		a.active = false
	}
}

// activate starts to gossip the demand. The means start at 0, and refresh adds the demand to them.
func (a *account) activate(epoch int64) {
	a.active, a.epoch, a.previousValid = true, epoch, false
	a.counted, a.mean, a.previous = 0, 0, 0
}

// grant sets the entry's share of the limit: its share of the demand, or an even one while the demand is not known.
func (l *Limiter) grant(a *account, now time.Time) {
	even := a.limit / float64(l.entries)
	granted := even
	if a.active {
		mean := a.mean
		if a.previousValid {
			mean = a.previous
		}
		if mean > minRate {
			granted = max(minGrant*even, min(a.limit, even*a.demand/mean))
		}
	}
	if r := rate.Limit(granted); r != a.limiter.Limit() {
		a.limiter.SetLimitAt(now, r)
		a.limiter.SetBurstAt(now, max(minBurst, int(granted*burstTime.Seconds())))
	}
}

// count adds one request to the smoothed demand.
func (a *account) count(now time.Time) {
	a.demand = a.smoothed(now) + math.Ln2/demandHalfLife.Seconds()
	a.updated = now
}

// smoothed returns the smoothed demand, decayed to the given time.
func (a *account) smoothed(now time.Time) float64 {
	age := now.Sub(a.updated)
	if age <= 0 {
		return a.demand
	}
	return a.demand * math.Exp2(-float64(age)/float64(demandHalfLife))
}
