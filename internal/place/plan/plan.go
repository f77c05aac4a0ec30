package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

const (
	// maxUtilization is the fraction of a runner's time that demand may use before the model counts as short.
	maxUtilization = 0.7
	// releaseUtilization is the utilization up to which a model's remaining runners must be able to serve its demand
	// before it releases one; the gap to maxUtilization is the hysteresis that keeps runners from moving back and forth.
	releaseUtilization = 0.5
)

// planner holds the state of one computation of a plan.
type planner struct {
	in           Input
	runners      []Runner // sorted by name; targets are updated by each move
	requirements map[string]Requirement
	out          Output
	loadsLeft    int // loads that may still be started
}

// New computes the next plan. Runners keep their targets where possible, so that few models are loaded.
func New(in Input) Output {
	p := &planner{
		in:           in,
		runners:      slices.Clone(in.Runners),
		requirements: map[string]Requirement{},
		out: Output{Targets: map[string]lease.Target{}, ShortSince: map[string]time.Time{},
			Missing: map[string]int{}},
		loadsLeft: in.MaxLoads,
	}
	slices.SortFunc(p.runners, func(x, y Runner) int { return cmp.Compare(x.Name, y.Name) })
	for _, r := range p.runners {
		if r.Live && r.Target.Model != "" && !r.Loaded {
			p.loadsLeft--
		}
	}
	for _, req := range in.Requirements {
		p.requirements[req.Model] = req
	}
	p.satisfyPreset()
	p.satisfyDemand()
	p.assignIdle()
	p.reloadOutdated()
	for _, r := range p.runners {
		if r.Target.Model != "" {
			p.out.Targets[r.Name] = r.Target
		}
	}
	return p.out
}

// models returns the names of the required models, sorted.
func (p *planner) models() []string { return slices.Sorted(maps.Keys(p.requirements)) }

// liveRunners returns the number of live runners whose target is the model.
func (p *planner) liveRunners(model string) int {
	n := 0
	for _, r := range p.runners {
		if r.Live && r.Target.Model == model {
			n++
		}
	}
	return n
}

// runnersNeeded returns how many runners the model's demand needs at the given utilization.
func (p *planner) runnersNeeded(model string, utilization float64) int {
	var load float64
	for _, d := range p.in.Demands {
		if d.Model == model {
			load += d.PerSecond * d.Seconds
		}
	}
	return int(math.Ceil(load / utilization))
}

// satisfyPreset gives each model the runners that the preset requires, starting with those without a target.
func (p *planner) satisfyPreset() {
	for _, model := range p.models() {
		for p.liveRunners(model) < p.requirements[model].Runners {
			if !p.addRunner(model, ReasonPreset, p.surplusOverPreset) {
				p.out.Missing[model] = p.requirements[model].Runners - p.liveRunners(model)
				break
			}
		}
	}
}

// satisfyDemand moves one runner to each model that has been short of runners for MoveAfter.
func (p *planner) satisfyDemand() {
	for _, model := range p.models() {
		if p.liveRunners(model) >= p.runnersNeeded(model, maxUtilization) {
			continue
		}
		since, wasShort := p.in.ShortSince[model]
		if !wasShort {
			since = p.in.Now
		}
		p.out.ShortSince[model] = since
		if p.in.Now.Sub(since) >= p.in.MoveAfter && p.addRunner(model, ReasonDemand, p.surplusOverDemand) {
			// The next move waits for MoveAfter again, so that this one can take effect first.
			p.out.ShortSince[model] = p.in.Now
		}
	}
}

// assignIdle assigns runners without a target to the model with the highest demand per runner, the new one included.
func (p *planner) assignIdle() {
	for _, r := range p.runners {
		if !r.Live || r.Target.Model != "" {
			continue
		}
		best, bestLoad := "", -1.0
		for _, model := range p.models() {
			load := float64(p.runnersNeeded(model, 1)) / float64(p.liveRunners(model)+1)
			if slices.Contains(r.Models, model) && load > bestLoad {
				best, bestLoad = model, load
			}
		}
		if best != "" {
			p.assign(r.Name, best, ReasonIdle)
		}
	}
}

// reloadOutdated reloads runners that hold another version or other adapters than required.
func (p *planner) reloadOutdated() {
	for _, r := range p.runners {
		req, ok := p.requirements[r.Target.Model]
		if !ok || !r.Live || !r.Loaded || req.target().SatisfiedBy(r.Target) {
			continue
		}
		p.assign(r.Name, req.Model, ReasonVersion)
	}
}

// target returns what a runner must have loaded to meet the requirement.
func (req Requirement) target() lease.Target {
	return lease.Target{Model: req.Model, Adapters: req.Adapters, Version: req.Version, Role: req.Role}
}

// surplusOverPreset returns how many runners a model has beyond those that the preset requires.
func (p *planner) surplusOverPreset(model string) int {
	if req, ok := p.requirements[model]; ok {
		return p.liveRunners(model) - req.Runners
	}
	return p.liveRunners(model)
}

// surplusOverDemand returns how many runners a model can release without becoming short itself. It counts with
// releaseUtilization, which is lower than maxUtilization, so that runners do not move back and forth.
func (p *planner) surplusOverDemand(model string) int {
	return min(p.surplusOverPreset(model), p.liveRunners(model)-p.runnersNeeded(model, releaseUtilization))
}

// addRunner moves the preferred runner to the model; it returns false if there is none or no load may start. Runners
// are taken only from models for which surplus returns a positive number.
func (p *planner) addRunner(model string, reason Reason, surplus func(string) int) bool {
	best := -1
	for i, r := range p.runners {
		if !p.movable(r, model, surplus) {
			continue
		}
		if best < 0 || p.preferred(r, p.runners[best], model) {
			best = i
		}
	}
	return best >= 0 && p.assign(p.runners[best].Name, model, reason)
}

// movable reports whether a runner may be moved to the model; surplus is as in addRunner.
func (p *planner) movable(r Runner, model string, surplus func(string) int) bool {
	if !r.Live || r.Target.Model == model || !slices.Contains(r.Models, model) {
		return false
	}
	if r.Target.Model == "" {
		return true
	}
	// A runner that is still loading finishes first.
	return r.Loaded && surplus(r.Target.Model) > 0
}

// preferred reports whether x should be moved to the model rather than y: first runners without a target, then those in
// the zone with the fewest runners of the model, then those in the zone with the most runners of their current model.
func (p *planner) preferred(x, y Runner, model string) bool {
	if idleX, idleY := x.Target.Model == "", y.Target.Model == ""; idleX != idleY {
		return idleX
	}
	if d := p.liveInZone(model, x.Zone) - p.liveInZone(model, y.Zone); d != 0 {
		return d < 0
	}
	return p.liveInZone(x.Target.Model, x.Zone) > p.liveInZone(y.Target.Model, y.Zone)
}

// liveInZone returns the number of live runners in a zone whose target is the model.
func (p *planner) liveInZone(model, zone string) int {
	n := 0
	for _, r := range p.runners {
		if r.Live && r.Zone == zone && r.Target.Model == model {
			n++
		}
	}
	return n
}

// assign changes a runner's target; it returns false if no more loads may start.
func (p *planner) assign(name, model string, reason Reason) bool {
	if p.loadsLeft <= 0 {
		return false
	}
	p.loadsLeft--
	i := slices.IndexFunc(p.runners, func(r Runner) bool { return r.Name == name })
	to := p.requirements[model].target()
	p.out.Moves = append(p.out.Moves, Move{Runner: name, From: p.runners[i].Target, To: to, Reason: reason})
	p.runners[i].Target = to
	p.runners[i].Loaded = false
	return true
}
