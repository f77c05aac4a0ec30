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

// moveAfter is how long a model must be short before runners move to it on demand alone.
const moveAfter = 5 * time.Minute

// NewInput is what a plan depends on: the fleet, the preset in force, and what the sides have reported on the plan stream.
// A runner whose side has reported nothing is left alone.
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
			if r, ok := runnerOf(u, spec, stream); ok {
				in.Runners = append(in.Runners, r)
			}
		}
	}
	return in
}

func runnerOf(u member.Upstream, spec pool.Spec, stream *lease.State) (plan.Runner, bool) {
	holds := stream.Owner(u.Name).Holds
	if holds == nil || u.State == member.Gone {
		return plan.Runner{}, false
	}
	r := plan.Runner{
		Name:   u.Name,
		Zone:   u.Zone,
		Live:   u.State == member.Live || u.State == member.Suspect,
		Models: spec.Models,
		Target: *holds,
		Loaded: true,
	}
	if target, planned := stream.Plan().Targets[u.Name]; planned && slices.Contains(spec.Models, target.Model) {
		r.Target = target
		r.Loaded = target.SatisfiedBy(*holds)
	}
	return r, true
}
