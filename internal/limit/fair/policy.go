package fair

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// demandTime is the time constant of demand in seconds. A burst of 4 s is known after a quarter of it.
	demandTime = 1.0
	// floorFraction is the part of a resource that all floors take together. With 0.05, three times as
	// much draft as usual on deployment N lost 0.03 of its served share to chat.
	floorFraction = 0.02
	floorDepth    = 1.0  // seconds of its floor that a key may save up
	keyLifetime   = 10.0 // seconds after which a key without claims has no part of the floor
	// returnFraction is the part of a resource that refused callers are expected to find when they come back.
	returnFraction = 0.25
)

// Key names the callers that share a floor.
type Key struct {
	Route string
	Team  string
	Size  string // class of the size of their requests; empty if there is one only
}

// resource is something that callers compete for.
type resource struct {
	demand  map[int]*decayed // admitted units by rank
	floors  map[Key]*floor
	returns map[int]time.Time // end of the last time slot for a caller that comes back, by rank
}

// decayed is a sum that decays with demandTime.
type decayed struct {
	sum float64
	at  time.Time
}

// floor holds the units that a key may claim whatever its rank.
type floor struct {
	units float64
	at    time.Time
}

// Policy ranks claims on resources. It is not safe for concurrent use; one goroutine owns it.
type Policy struct {
	random    *rand.Rand
	resources map[string]*resource
}

// New returns a policy that knows no demand and draws from random.
func New(random *rand.Rand) *Policy {
	return &Policy{random: random, resources: map[string]*resource{}}
}

func (p *Policy) resource(name string) *resource {
	r := p.resources[name]
	if r == nil {
		r = &resource{demand: map[int]*decayed{}, floors: map[Key]*floor{}, returns: map[int]time.Time{}}
		p.resources[name] = r
	}
	return r
}

// Clone returns a copy whose claims don't count in p, with a random source of its own that is always the same.
func (p *Policy) Clone() *Policy {
	out := New(rand.New(rand.NewPCG(1, 1)))
	for name, r := range p.resources {
		c := out.resource(name)
		for rank, d := range r.demand {
			copied := *d
			c.demand[rank] = &copied
		}
		for key, f := range r.floors {
			copied := *f
			c.floors[key] = &copied
		}
		maps.Copy(c.returns, r.returns)
	}
	return out
}

// Admit counts units of a resource that work of a rank was promised.
func (p *Policy) Admit(name string, rank int, units float64, now time.Time) {
	r := p.resource(name)
	d := r.demand[rank]
	if d == nil {
		d = &decayed{at: now}
		r.demand[rank] = d
	}
	d.sum = d.value(now) + units
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/demandTime)
}

// Left returns the part, 0 to 1, of a resource that work more urgent than rank leaves, given its capacity in units per second.
func (p *Policy) Left(name string, rank int, capacity float64, now time.Time) float64 {
	if capacity <= 0 {
		return 0
	}
	taken := 0.0
	for r, d := range p.resource(name).demand {
		if r < rank {
			taken += d.value(now) / demandTime
		}
	}
	return max(0, 1-taken/capacity)
}

// Spend reports whether a key has units of its floor left, and takes them if so. Keys that have claimed lately share
// floorFraction of the capacity, which is in units per second.
func (p *Policy) Spend(name string, key Key, units, capacity float64, now time.Time) bool {
	r := p.resource(name)
	for k, f := range r.floors {
		if now.Sub(f.at).Seconds() > keyLifetime {
			delete(r.floors, k)
		}
	}
	f := r.floors[key]
	if f == nil {
		f = &floor{at: now}
		r.floors[key] = f
	}
	rate := floorFraction * capacity / float64(len(r.floors))
	f.units = min(f.units+rate*now.Sub(f.at).Seconds(), max(units, rate*floorDepth))
	f.at = now
	if f.units < units {
		return false
	}
	f.units -= units
	return true
}

// RetryAfter returns when a refused caller should come back: in the next time slot of its rank, none of which is earlier
// than those of more urgent ranks, or at a random time between earliest and latest if all slots before latest are taken.
func (p *Policy) RetryAfter(name string, rank int, units, capacity float64, earliest, latest time.Duration, now time.Time) time.Duration {
	r := p.resource(name)
	slot := now.Add(earliest)
	for other, end := range r.returns {
		if other <= rank && end.After(slot) {
			slot = end
		}
	}
	if slot.After(now.Add(latest)) || capacity <= 0 {
		return earliest + time.Duration(p.random.Float64()*float64(latest-earliest))
	}
	r.returns[rank] = slot.Add(time.Duration(units / (returnFraction * capacity) * float64(time.Second)))
	return slot.Sub(now)
}
