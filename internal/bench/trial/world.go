package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 1500 * time.Microsecond

	gossipInterval = time.Second
)

// world is one run of a scenario under a policy.
type world struct {
	scenario Scenario
	policy   Policy
	loop     *loop
	rng      *rand.Rand // of the policy's own draws
	arrivals *rand.Rand // the same under every policy
	entries  []*entry
	sides    map[string][]*side
	wakeups  map[*side]*event
	result   *Result
	logDown  bool
	skip     string // pool whose stage the preset in force leaves out
	capacity float64
}

// Run plays a scenario under a policy.
func Run(s Scenario, p Policy) *Result {
	w := &world{
		scenario: s,
		policy:   p,
		loop:     newLoop(),
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		arrivals: rand.New(rand.NewPCG(s.Seed, 2)),
		sides:    map[string][]*side{},
		wakeups:  map[*side]*event{},
		result:   newResult(s, p),
		capacity: s.Capacity(),
	}
	for _, pool := range s.Pools {
		for i := range pool.Runners {
			name := fmt.Sprintf("%s-%d", pool.Name, i)
			w.sides[pool.Name] = append(w.sides[pool.Name], newSide(w, pool, name, i%max(1, s.Zones)))
		}
	}
	for i := range max(1, s.Entries) {
		w.entries = append(w.entries, newEntry(w, fmt.Sprintf("entry-%d", i), i%max(1, s.Zones)))
	}
	for _, f := range s.Faults {
		w.loop.after(seconds(f.At), func() { w.fault(f, true) })
		if f.Until > 0 {
			w.loop.after(seconds(f.Until), func() { w.fault(f, false) })
		}
	}
	if s.Share {
		w.limitTeams()
		w.loop.after(gossipInterval, w.gossip)
	}
	for _, to := range s.Presets {
		w.loop.after(seconds(to.At), func() { w.switchTo(to) })
	}
	w.arriveNext()
	longest := 0.0
	for _, l := range s.Pipelines {
		longest = max(longest, l.DeadlineMs)
	}
	w.loop.runUntil(epoch.Add(seconds(s.Seconds) + millis(longest) + time.Second))
	return w.result
}

// switchTo puts a preset in force for the requests that arrive from now on.
func (w *world) switchTo(to Switch) {
	w.skip = to.Skip
	zone := ""
	if to.Zone != nil {
		zone = zoneName(*to.Zone)
	}
	for _, e := range w.entries {
		for _, p := range w.scenario.Pools {
			e.views[p.Name].publish(zone)
		}
	}
}

// limitTeams sets each team's limit to its share of the capacity.
func (w *world) limitTeams() {
	limits := map[string]float64{}
	for _, t := range w.scenario.Teams {
		limits[t.Name] = t.Share * w.capacity
	}
	for _, e := range w.entries {
		e.share.Set(limits, len(w.entries), w.loop.now)
	}
}

// gossip lets each entry exchange its teams' demand with one peer.
func (w *world) gossip() {
	for i, e := range w.entries {
		peer := w.rng.IntN(len(w.entries))
		if peer == i {
			continue
		}
		if rows := e.share.Offer(w.loop.now); len(rows) > 0 {
			e.share.Apply(w.entries[peer].share.Answer(rows, w.loop.now), w.loop.now)
		}
	}
	w.loop.after(gossipInterval, w.gossip)
}

func (w *world) arriveNext() {
	at := w.loop.since().Seconds()
	if at >= w.scenario.Seconds {
		return
	}
	rate := w.scenario.loadAt(at) * w.capacity
	w.loop.after(seconds(w.arrivals.ExpFloat64()/rate), func() {
		w.arrive()
		w.arriveNext()
	})
}

func (w *world) arrive() {
	no := w.drawLine()
	line := &w.scenario.Pipelines[no]
	if w.skip != "" && w.policy.Pick {
		line = line.without(w.skip)
	}
	r := &request{
		w:        w,
		line:     line,
		lineNo:   no,
		team:     w.drawTeam(),
		prefix:   -1,
		work:     map[string]float64{},
		arrived:  w.loop.now,
		deadline: w.loop.now.Add(millis(line.DeadlineMs)),
	}
	if n := w.scenario.Prefix.Count; n > 0 {
		r.prefix = w.arrivals.IntN(n)
		if w.arrivals.Float64() < w.scenario.Prefix.Hot {
			r.prefix = 0
		}
	}
	r.entry = w.drawEntry()
	r.start()
}

func (w *world) drawEntry() *entry {
	for i := w.arrivals.IntN(len(w.entries)); ; i = (i + 1) % len(w.entries) {
		if !w.entries[i].down {
			return w.entries[i]
		}
	}
}

func (w *world) drawLine() int {
	x := w.arrivals.Float64() * w.scenario.parts()
	for i, l := range w.scenario.Pipelines {
		x -= l.Part
		if x < 0 {
			return i
		}
	}
	return len(w.scenario.Pipelines) - 1
}

func (w *world) drawTeam() string {
	total := 0.0
	for _, t := range w.scenario.Teams {
		total += t.Part
	}
	x := w.arrivals.Float64() * total
	for _, t := range w.scenario.Teams {
		x -= t.Part
		if x < 0 {
			return t.Name
		}
	}
	return w.scenario.Teams[0].Name
}

// drawWork returns a call's work and the part of it before the first token, in seconds.
func (w *world) drawWork(st *Stage) (work, prefill float64) {
	prefill = st.PrefillMs / 1000
	rest := (st.WorkMs - st.PrefillMs) / 1000
	spread := st.spread()
	rest *= min(4, 1-spread+spread*w.rng.ExpFloat64())
	if t := w.scenario.Tail; t.Part > 0 && w.rng.Float64() < t.Part {
		rest *= t.Factor
	}
	return prefill + rest, prefill
}

func (w *world) delay(a *attempt) time.Duration {
	if a.side.zone == a.req.entry.zone {
		return nearDelay
	}
	return farDelay
}

func (w *world) fault(f Fault, on bool) {
	switch f.Kind {
	case "slow":
		factor := 1.0
		if on {
			factor = f.Factor
		}
		for _, s := range w.hit(f) {
			s.engine.setSlow(factor)
		}
	case "fail":
		for _, s := range w.hit(f) {
			s.failing = on
		}
	case "zone":
		w.loseZone(f.Zone)
	case "log":
		w.logDown = on
		if !on {
			w.eachSide((*side).logBack)
		}
	default:
		panic(fmt.Sprintf("unknown kind of fault %q", f.Kind))
	}
}

func (w *world) hit(f Fault) []*side {
	all := w.sides[f.Pool]
	if f.Runner < 0 {
		return all
	}
	return all[f.Runner : f.Runner+1]
}

func (w *world) eachSide(do func(*side)) {
	for _, p := range w.scenario.Pools {
		for _, s := range w.sides[p.Name] {
			do(s)
		}
	}
}

// loseZone takes a zone's entries and upstreams away for good.
func (w *world) loseZone(zone int) {
	for _, e := range w.entries {
		if e.zone == zone {
			e.down = true
		}
	}
	w.eachSide(func(s *side) {
		if s.zone == zone {
			s.crash()
		}
	})
}

// cacheEvent tells each entry late that a prefix entered an engine's cache and another left it; some events are lost.
func (w *world) cacheEvent(s *side, cached, evicted int) {
	lag := w.scenario.Prefix
	for _, e := range w.entries {
		m := e.views[s.pool.Name].affin
		if w.rng.Float64() >= lag.EventLoss {
			w.loop.after(millis(lag.EventMs), func() { m.Cached(prefixName(cached), s.name, w.loop.now) })
		}
		if evicted >= 0 && w.rng.Float64() >= lag.EventLoss {
			w.loop.after(millis(lag.EventMs), func() { m.Evicted(prefixName(evicted), s.name) })
		}
	}
}

func prefixName(prefix int) string { return fmt.Sprintf("prefix-%d", prefix) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }
