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
	// EpochLength is how long a mean is averaged before it is begun anew, which drops the errors of lost messages.
	EpochLength = 30 * time.Second

	demandHalfLife = 3 * time.Second
	burstTime      = time.Second
	minBurst       = 1   // requests
	maxRows        = 20  // of one message
	rowFrom        = 0.5 // of the even share: below it a team's demand is not gossiped
	dropBelow      = 1e-6
	minPart        = 0.01 // of the even share that an entry always keeps
)

// TeamDemand is what entries gossip about one team.
type TeamDemand struct {
	Team  string
	Epoch int64
	// Mean is the estimated demand per entry, in requests a second; in an answer, what to add to it.
	Mean float64
	// Previous is the same as Mean, averaged since the start of the previous epoch.
	Previous float64
}

// account is one team's demand and grant at this entry.
type account struct {
	limit   float64 // over all entries, in requests a second
	limiter *rate.Limiter

	demand float64 // smoothed, in requests a second
	at     time.Time

	active  bool
	known   float64 // the demand that is contained in the means
	epoch   int64
	mean    float64
	earlier float64
	aged    bool // earlier holds a mean of the epoch before
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
func (b *Limiter) Set(limits map[string]float64, entries int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
	for team := range b.accounts {
		if _, ok := limits[team]; !ok {
			delete(b.accounts, team)
		}
	}
	for team, limit := range limits {
		a := b.accounts[team]
		if a == nil {
			a = &account{at: now}
			a.limiter = rate.NewLimiter(0, minBurst)
			b.accounts[team] = a
		}
		a.limit = limit
		b.grant(a, now)
	}
}

// Allow takes a request out of the team's share; a team without a limit always may, and a refusal says when to come back.
func (b *Limiter) Allow(team string, now time.Time) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[team]
	if a == nil {
		return true, 0
	}
	a.count(now)
	b.grant(a, now)
	if a.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - a.limiter.TokensAt(now)
	return false, time.Duration(missing / max(float64(a.limiter.Limit()), dropBelow) * float64(time.Second))
}

// Granted is the rate that this entry may admit of a team, in requests a second; negative without a limit.
func (b *Limiter) Granted(team string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[team]; a != nil {
		return float64(a.limiter.Limit())
	}
	return -1
}

// Offer returns the rows to send to a peer.
func (b *Limiter) Offer(now time.Time) []TeamDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rows []TeamDemand
	for team, a := range b.accounts {
		b.refresh(a, now)
		if a.active {
			rows = append(rows, TeamDemand{Team: team, Epoch: a.epoch, Mean: a.mean, Previous: a.earlier})
		}
	}
	return b.trim(rows)
}

// trim keeps the rows of the teams that are furthest over their limits.
func (b *Limiter) trim(rows []TeamDemand) []TeamDemand {
	slices.SortFunc(rows, func(x, y TeamDemand) int {
		if c := cmp.Compare(b.excess(y), b.excess(x)); c != 0 {
			return c
		}
		return cmp.Compare(x.Team, y.Team)
	})
	return rows[:min(len(rows), maxRows)]
}

func (b *Limiter) excess(r TeamDemand) float64 { return r.Mean / b.accounts[r.Team].limit }

// Answer takes a peer's rows, moves its means to the middle, and returns what the peer must add to its own.
func (b *Limiter) Answer(rows []TeamDemand, now time.Time) []TeamDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []TeamDemand
	for _, r := range rows {
		a := b.accounts[r.Team]
		if a == nil {
			continue
		}
		b.refresh(a, now)
		if !a.active {
			a.activate(r.Epoch)
		}
		if a.epoch != r.Epoch {
			continue
		}
		move := TeamDemand{Team: r.Team, Epoch: r.Epoch, Mean: (a.mean - r.Mean) / 2, Previous: (a.earlier - r.Previous) / 2}
		a.mean -= move.Mean
		a.earlier -= move.Previous
		b.grant(a, now)
		out = append(out, move)
	}
	return out
}

// Apply adds the corrections of a peer's answer to the means.
func (b *Limiter) Apply(moves []TeamDemand, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range moves {
		a := b.accounts[m.Team]
		if a == nil || !a.active || a.epoch != m.Epoch {
			continue
		}
		a.mean += m.Mean
		a.earlier += m.Previous
		b.grant(a, now)
	}
}

// refresh brings the means up to the present demand and epoch.
func (b *Limiter) refresh(a *account, now time.Time) {
	epoch := now.UnixNano() / int64(EpochLength)
	demand := a.smoothed(now)
	even := a.limit / float64(b.entries)
	if !a.active {
		if demand < rowFrom*even {
			return
		}
		a.activate(epoch)
	}
	a.mean += demand - a.known
	a.earlier += demand - a.known
	a.known = demand
	if a.epoch != epoch {
		a.earlier = a.mean
		a.mean = demand
		a.aged = a.epoch == epoch-1
		a.epoch = epoch
	}
	if demand < rowFrom*even && max(a.mean, a.earlier) < rowFrom*even/float64(b.entries) {
		a.active = false
	}
}

func (a *account) activate(epoch int64) {
	a.active, a.epoch, a.aged = true, epoch, false
	a.known, a.mean, a.earlier = 0, 0, 0
}

// grant sets the entry's part of the limit: its part of the demand, or an even one while the demand is not known.
func (b *Limiter) grant(a *account, now time.Time) {
	even := a.limit / float64(b.entries)
	part := even
	if a.active {
		mean := a.mean
		if a.aged {
			mean = a.earlier
		}
		if mean > dropBelow {
			part = max(minPart*even, min(a.limit, even*a.demand/mean))
		}
	}
	if r := rate.Limit(part); r != a.limiter.Limit() {
		a.limiter.SetLimitAt(now, r)
		a.limiter.SetBurstAt(now, max(minBurst, int(part*burstTime.Seconds())))
	}
}

// count adds one request to the smoothed demand.
func (a *account) count(now time.Time) {
	a.demand = a.smoothed(now) + math.Ln2/demandHalfLife.Seconds()
	a.at = now
}

func (a *account) smoothed(now time.Time) float64 {
	age := now.Sub(a.at)
	if age <= 0 {
		return a.demand
	}
	return a.demand * math.Exp2(-float64(age)/float64(demandHalfLife))
}
