package agent

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// moveAfter is how long a model must have had too few engines for its demand before another engine is moved to it.
const moveAfter = 5 * time.Minute

// NewInput returns the input of a plan: the fleet, the active preset and what the sidecars have reported in the plan
// stream. Engines without a report are left out, so that their targets do not change.
func NewInput(v member.View, set config.Set, stream *lease.State, maxLoads int) plan.Input {
	in := plan.Input{MaxLoads: maxLoads, MoveAfter: moveAfter}
	preset, _ := set.Preset()
	for model, n := range preset.Runners {
		in.Requirements = append(in.Requirements, plan.Requirement{Model: model, Runners: n})
	}
	for name, spec := range set.Pools {
		if spec.Kind != pool.Engine {
			continue
		}
		for _, u := range v.Pools[name] {
			if r, ok := newRunner(u, spec, stream); ok {
				in.Runners = append(in.Runners, r)
			}
		}
	}
	return in
}

// newRunner returns an engine as the planner sees it, or false if the engine is gone or its sidecar has not reported
// what it has loaded.
func newRunner(u member.Upstream, spec pool.Spec, stream *lease.State) (plan.Runner, bool) {
	loaded := stream.Owner(u.Name).Holds
	if loaded == nil || u.State == member.Gone {
		return plan.Runner{}, false
	}
	r := plan.Runner{
		Name:   u.Name,
		Zone:   u.Zone,
		Live:   u.State == member.Live || u.State == member.Suspect,
		Models: spec.Models,
		Target: *loaded,
		Loaded: true,
	}
	if target, planned := stream.Plan().Targets[u.Name]; planned && slices.Contains(spec.Models, target.Model) {
		r.Target = target
		r.Loaded = target.SatisfiedBy(*loaded)
	}
	return r, true
}
