package sched

import (
	"time"
)

// maxHolders bounds the requests that a Demand names.
const maxHolders = 4

// Demand is what the upstreams of a pool do, and what waits for them.
type Demand struct {
	Pool    string
	Free    int         // upstreams that can take a call
	Busy    int         // with a call in flight
	Slow    int         // that wait for their next test
	Paused  int         // that take no call for now, or are out of memory for results
	Waiting map[int]int // pieces by rank
	Running map[int]int // pieces by rank
	Holders []string    // some of the requests whose pieces run, the most urgent ranks first
}

// Demands returns the demand of all pools, sorted by name. It changes nothing.
func (sc *Scheduler) Demands(now time.Time) []Demand {
	var out []Demand
	for _, name := range sortedKeys(sc.pools) {
		out = append(out, sc.demand(name, sc.pools[name], now))
	}
	return out
}

func (sc *Scheduler) demand(name string, p *pool, now time.Time) Demand {
	d := Demand{Pool: name, Waiting: map[int]int{}, Running: map[int]int{}}
	for _, s := range p.ready {
		d.Waiting[s.job.Rank] += len(s.pending)
	}
	holders := map[int][]string{} // requests by rank
	for _, id := range sortedKeys(p.workers) {
		w := p.workers[id]
		if w.running == nil && !w.present {
			continue
		}
		switch sc.state(w, now) {
		case StateBusy:
			d.Busy++
			for _, part := range w.running.parts {
				j := part.step.job
				d.Running[j.Rank] += len(part.pieces)
				holders[j.Rank] = append(holders[j.Rank], j.RequestID)
			}
		case StatePaused, StateLimited:
			d.Paused++
		case StateSlow:
			d.Slow++
		case StateFree:
			d.Free++
		}
	}
	for _, rank := range sortedKeys(holders) {
		d.Holders = append(d.Holders, holders[rank]...)
	}
	d.Holders = d.Holders[:min(len(d.Holders), maxHolders)]
	return d
}
