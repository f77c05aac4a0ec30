package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond

	gossipInterval = time.Second
)

// simulation is one run of a scenario under a policy.
type simulation struct {
	scenario    Scenario
	policy      Policy
	loop        *loop
	rng         *rand.Rand // draws that depend on the policy
	arrivals    *rand.Rand // draws that are the same under every policy
	entries     []*entry
	sides       map[string][]*side
	wakeups     map[*side]*event
	result      *Result
	logDown     bool
	skippedPool string // pool whose stages the active preset skips
	capacity    float64
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy) *Result {
	sim := &simulation{
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
			sim.sides[pool.Name] = append(sim.sides[pool.Name], newSide(sim, pool, name, i%max(1, s.Zones)))
		}
	}
	for i := range max(1, s.Entries) {
		sim.entries = append(sim.entries, newEntry(sim, fmt.Sprintf("entry-%d", i), i%max(1, s.Zones)))
	}
	for _, f := range s.Faults {
		sim.loop.after(seconds(f.At), func() { sim.setFault(f, true) })
		if f.Until > 0 {
			sim.loop.after(seconds(f.Until), func() { sim.setFault(f, false) })
		}
	}
	if s.TeamLimits {
		sim.setTeamLimits()
		sim.loop.after(gossipInterval, sim.gossip)
	}
	for _, preset := range s.PresetChanges {
		sim.loop.after(seconds(preset.At), func() { sim.applyPreset(preset) })
	}
	sim.scheduleArrival()
	longest := 0.0
	for _, l := range s.Pipelines {
		longest = max(longest, l.DeadlineMs)
	}
	sim.loop.runUntil(epoch.Add(seconds(s.Seconds) + millis(longest) + time.Second))
	return sim.result
}

// applyPreset activates a preset: requests that arrive later skip its stages, and its zone is no longer chosen.
func (sim *simulation) applyPreset(preset PresetChange) {
	sim.skippedPool = preset.Skip
	zone := ""
	if preset.Zone != nil {
		zone = zoneName(*preset.Zone)
	}
	for _, e := range sim.entries {
		for _, p := range sim.scenario.Pools {
			e.views[p.Name].rebuildSet(zone)
		}
	}
}

// setTeamLimits sets each team's limit to its share of the capacity.
func (sim *simulation) setTeamLimits() {
	limits := map[string]float64{}
	for _, t := range sim.scenario.Teams {
		limits[t.Name] = t.Share * sim.capacity
	}
	for _, e := range sim.entries {
		e.share.Set(limits, len(sim.entries), sim.loop.now)
	}
}

// gossip lets each entry exchange the demand of its teams with one random peer.
func (sim *simulation) gossip() {
	for i, e := range sim.entries {
		peer := sim.rng.IntN(len(sim.entries))
		if peer == i {
			continue
		}
		if rows := e.share.Offer(sim.loop.now); len(rows) > 0 {
			e.share.Apply(sim.entries[peer].share.Answer(rows, sim.loop.now), sim.loop.now)
		}
	}
	sim.loop.after(gossipInterval, sim.gossip)
}

func (sim *simulation) scheduleArrival() {
	at := sim.loop.elapsed().Seconds()
	if at >= sim.scenario.Seconds {
		return
	}
	rate := sim.scenario.loadAt(at) * sim.capacity
	sim.loop.after(seconds(sim.arrivals.ExpFloat64()/rate), func() {
		sim.arrive()
		sim.scheduleArrival()
	})
}

func (sim *simulation) arrive() {
	index := sim.drawPipeline()
	pipeline := &sim.scenario.Pipelines[index]
	if sim.skippedPool != "" && sim.policy.Pick {
		pipeline = pipeline.without(sim.skippedPool)
	}
	r := &request{
		sim:           sim,
		pipeline:      pipeline,
		pipelineIndex: index,
		team:          sim.drawTeam(),
		prefix:        -1,
		work:          map[string]float64{},
		arrived:       sim.loop.now,
		deadline:      sim.loop.now.Add(millis(pipeline.DeadlineMs)),
	}
	if n := sim.scenario.Prefix.Count; n > 0 {
		r.prefix = sim.arrivals.IntN(n)
		if sim.arrivals.Float64() < sim.scenario.Prefix.HotFraction {
			r.prefix = 0
		}
	}
	r.entry = sim.drawEntry()
	r.start()
}

func (sim *simulation) drawEntry() *entry {
	for i := sim.arrivals.IntN(len(sim.entries)); ; i = (i + 1) % len(sim.entries) {
		if !sim.entries[i].down {
			return sim.entries[i]
		}
	}
}

func (sim *simulation) drawPipeline() int {
	x := sim.arrivals.Float64() * sim.scenario.totalWeight()
	for i, l := range sim.scenario.Pipelines {
		x -= l.Weight
		if x < 0 {
			return i
		}
	}
	return len(sim.scenario.Pipelines) - 1
}

func (sim *simulation) drawTeam() string {
	total := 0.0
	for _, t := range sim.scenario.Teams {
		total += t.Weight
	}
	x := sim.arrivals.Float64() * total
	for _, t := range sim.scenario.Teams {
		x -= t.Weight
		if x < 0 {
			return t.Name
		}
	}
	return sim.scenario.Teams[0].Name
}

// drawWork draws a call's work and returns it with the prefill that it includes, in seconds.
func (sim *simulation) drawWork(st *Stage) (work, prefill float64) {
	prefill = st.PrefillMs / 1000
	rest := (st.WorkMs - st.PrefillMs) / 1000
	spread := st.spreadOrDefault()
	rest *= min(4, 1-spread+spread*sim.rng.ExpFloat64())
	if t := sim.scenario.Tail; t.Fraction > 0 && sim.rng.Float64() < t.Fraction {
		rest *= t.Factor
	}
	return prefill + rest, prefill
}

func (sim *simulation) delay(a *attempt) time.Duration {
	if a.side.zone == a.request.entry.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

func (sim *simulation) setFault(f Fault, on bool) {
	switch f.Kind {
	case "slow":
		factor := 1.0
		if on {
			factor = f.Factor
		}
		for _, s := range sim.faultTargets(f) {
			s.engine.setSlowdown(factor)
		}
	case "fail":
		for _, s := range sim.faultTargets(f) {
			s.failing = on
		}
	case "zone":
		sim.failZone(f.Zone)
	case "log":
		sim.logDown = on
		if !on {
			sim.forEachSide((*side).resumeClaims)
		}
	default:
		panic(fmt.Sprintf("unknown kind of fault %q", f.Kind))
	}
}

func (sim *simulation) faultTargets(f Fault) []*side {
	all := sim.sides[f.Pool]
	if f.Runner < 0 {
		return all
	}
	return all[f.Runner : f.Runner+1]
}

func (sim *simulation) forEachSide(do func(*side)) {
	for _, p := range sim.scenario.Pools {
		for _, s := range sim.sides[p.Name] {
			do(s)
		}
	}
}

// failZone stops the entries and upstreams of a zone for good.
func (sim *simulation) failZone(zone int) {
	for _, e := range sim.entries {
		if e.zone == zone {
			e.down = true
		}
	}
	sim.forEachSide(func(s *side) {
		if s.zone == zone {
			s.crash()
		}
	})
}

// cacheEvent reports to each entry, after a delay, that an engine cached a prefix and evicted another; some events are
// lost.
func (sim *simulation) cacheEvent(s *side, cached, evicted int) {
	prefix := sim.scenario.Prefix
	for _, e := range sim.entries {
		m := e.views[s.pool.Name].affinity
		if sim.rng.Float64() >= prefix.EventLossFraction {
			sim.loop.after(millis(prefix.EventDelayMs), func() { m.Cached(prefixName(cached), s.name, sim.loop.now) })
		}
		if evicted >= 0 && sim.rng.Float64() >= prefix.EventLossFraction {
			sim.loop.after(millis(prefix.EventDelayMs), func() { m.Evicted(prefixName(evicted), s.name) })
		}
	}
}

func prefixName(prefix int) string { return fmt.Sprintf("prefix-%d", prefix) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }
