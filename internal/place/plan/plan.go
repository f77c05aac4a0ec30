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
	// utilization is the fraction of a runner's time that demand may fill.
	utilization = 0.7
	// keepUtilization is the lower fraction below which a runner may be given away.
	keepUtilization = 0.5
)

// book is the plan in the making.
type book struct {
	in      Input
	runners []Runner // sorted by name; targets change as moves are made
	wants   map[string]Requirement
	out     Output
	loads   int // loads that may still start
}

// New computes the next plan; it keeps what fits and moves as few runners as it can.
func New(in Input) Output {
	b := &book{
		in:      in,
		runners: slices.Clone(in.Runners),
		wants:   map[string]Requirement{},
		out:     Output{Targets: map[string]lease.Target{}, ShortSince: map[string]time.Time{}, Missing: map[string]int{}},
		loads:   in.MaxLoads,
	}
	slices.SortFunc(b.runners, func(x, y Runner) int { return cmp.Compare(x.Name, y.Name) })
	for _, r := range b.runners {
		if r.Live && r.Target.Model != "" && !r.Loaded {
			b.loads--
		}
	}
	for _, w := range in.Requirements {
		b.wants[w.Model] = w
	}
	b.fillPreset()
	b.fillDemand()
	b.fillIdle()
	b.reload()
	for _, r := range b.runners {
		if r.Target.Model != "" {
			b.out.Targets[r.Name] = r.Target
		}
	}
	return b.out
}

// models returns the wanted models, sorted.
func (b *book) models() []string { return slices.Sorted(maps.Keys(b.wants)) }

// count is the number of live runners whose target is the model.
func (b *book) count(model string) int {
	n := 0
	for _, r := range b.runners {
		if r.Live && r.Target.Model == model {
			n++
		}
	}
	return n
}

// busy is the number of runners that the model's demand fills at a utilization.
func (b *book) busy(model string, fraction float64) int {
	var load float64
	for _, d := range b.in.Demands {
		if d.Model == model {
			load += d.PerSecond * d.Seconds
		}
	}
	return int(math.Ceil(load / fraction))
}

// fillPreset gives each model the runners that the preset asks for, first from those without a target.
func (b *book) fillPreset() {
	for _, model := range b.models() {
		for b.count(model) < b.wants[model].Runners {
			if !b.move(model, ReasonPreset, b.sparesForPreset) {
				b.out.Missing[model] = b.wants[model].Runners - b.count(model)
				break
			}
		}
	}
}

// fillDemand moves one runner at a time to a model that has been short for long enough.
func (b *book) fillDemand() {
	for _, model := range b.models() {
		if b.count(model) >= b.busy(model, utilization) {
			continue
		}
		since, pressed := b.in.ShortSince[model]
		if !pressed {
			since = b.in.Now
		}
		b.out.ShortSince[model] = since
		if b.in.Now.Sub(since) >= b.in.MoveAfter && b.move(model, ReasonDemand, b.sparesForDemand) {
			// The next move waits again, so that this one shows its effect.
			b.out.ShortSince[model] = b.in.Now
		}
	}
}

// fillIdle gives runners without a target to the model with the most demand for each runner.
func (b *book) fillIdle() {
	for _, r := range b.runners {
		if !r.Live || r.Target.Model != "" {
			continue
		}
		best, bestLoad := "", -1.0
		for _, model := range b.models() {
			load := float64(b.busy(model, 1)) / float64(b.count(model)+1)
			if slices.Contains(r.Models, model) && load > bestLoad {
				best, bestLoad = model, load
			}
		}
		if best != "" {
			b.set(r.Name, best, ReasonIdle)
		}
	}
}

// reload brings runners to the wanted version and adapters.
func (b *book) reload() {
	for _, r := range b.runners {
		w, ok := b.wants[r.Target.Model]
		if !ok || !r.Live || !r.Loaded || w.target().SatisfiedBy(r.Target) {
			continue
		}
		b.set(r.Name, w.Model, ReasonVersion)
	}
}

func (w Requirement) target() lease.Target {
	return lease.Target{Model: w.Model, Adapters: w.Adapters, Version: w.Version, Role: w.Role}
}

// sparesForPreset is how many runners a model can give to one that the preset wants.
func (b *book) sparesForPreset(model string) int {
	if w, ok := b.wants[model]; ok {
		return b.count(model) - w.Runners
	}
	return b.count(model)
}

// sparesForDemand is how many runners a model can give without being short itself; the lower bound than that for taking
// keeps runners from moving back and forth.
func (b *book) sparesForDemand(model string) int {
	return min(b.sparesForPreset(model), b.count(model)-b.busy(model, keepUtilization))
}

// move gives a model one more runner, if any can be had.
func (b *book) move(model string, reason Reason, spares func(string) int) bool {
	best := -1
	for i, r := range b.runners {
		if !b.movable(r, model, spares) {
			continue
		}
		if best < 0 || b.better(r, b.runners[best], model) {
			best = i
		}
	}
	return best >= 0 && b.set(b.runners[best].Name, model, reason)
}

func (b *book) movable(r Runner, model string, spares func(string) int) bool {
	if !r.Live || r.Target.Model == model || !slices.Contains(r.Models, model) {
		return false
	}
	if r.Target.Model == "" {
		return true
	}
	// A runner in the middle of a load is left to finish it.
	return r.Loaded && spares(r.Target.Model) > 0
}

// better prefers a runner without a target, then the zone with the fewest runners of the model, then the zone with the
// most of the model it gives up.
func (b *book) better(x, y Runner, model string) bool {
	if idleX, idleY := x.Target.Model == "", y.Target.Model == ""; idleX != idleY {
		return idleX
	}
	if d := b.inZone(model, x.Zone) - b.inZone(model, y.Zone); d != 0 {
		return d < 0
	}
	return b.inZone(x.Target.Model, x.Zone) > b.inZone(y.Target.Model, y.Zone)
}

func (b *book) inZone(model, zone string) int {
	n := 0
	for _, r := range b.runners {
		if r.Live && r.Zone == zone && r.Target.Model == model {
			n++
		}
	}
	return n
}

// set changes a runner's target if the weight store can bear another load.
func (b *book) set(name, model string, reason Reason) bool {
	if b.loads <= 0 {
		return false
	}
	b.loads--
	i := slices.IndexFunc(b.runners, func(r Runner) bool { return r.Name == name })
	to := b.wants[model].target()
	b.out.Moves = append(b.out.Moves, Move{Runner: name, From: b.runners[i].Target, To: to, Reason: reason})
	b.runners[i].Target = to
	b.runners[i].Loaded = false
	return true
}
