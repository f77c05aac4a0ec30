package fold

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// Image is a state as plain data, for snapshots.
type Image struct {
	Offset    int64                 `json:"offset"`
	Revision  int64                 `json:"revision"`
	Pools     []Object[pool.Spec]   `json:"pools"`
	Stages    []Object[stage.Spec]  `json:"stages"`
	Pipelines []Object[pipe.Spec]   `json:"pipelines"`
	Presets   []Object[preset.Spec] `json:"presets"`
	Teams     []Object[team.Spec]   `json:"teams"`
	InForce   Pointer               `json:"inForce"`
	Changes   []Change              `json:"changes"`
	Recent    []Decision            `json:"recent"`
	Older     []Decision            `json:"older"`
	Forgotten int64                 `json:"forgotten"`
	Snapshot  Mark                  `json:"snapshot"`
}

// Image returns the state as plain data, in a fixed order.
func (s *State) Image() Image {
	return Image{
		Offset:    s.offset,
		Revision:  s.revision,
		Pools:     s.pools.list(),
		Stages:    s.stages.list(),
		Pipelines: s.pipelines.list(),
		Presets:   s.presets.list(),
		Teams:     s.teams.list(),
		InForce:   s.inForce,
		Changes:   s.Changes(),
		Recent:    decisions(s.memory.recent),
		Older:     decisions(s.memory.older),
		Forgotten: s.memory.forgotten,
		Snapshot:  s.snapshot,
	}
}

// FromImage rebuilds a state; it returns an error when two objects have one name or one token.
func FromImage(im Image) (*State, error) {
	s := State{
		offset:    im.Offset,
		revision:  im.Revision,
		pools:     restore(config.Pools, im.Pools, poolName),
		stages:    restore(config.Stages, im.Stages, stageName),
		pipelines: restore(config.Pipelines, im.Pipelines, pipelineName),
		presets:   restore(config.Presets, im.Presets, presetName),
		teams:     restore(config.Teams, im.Teams, teamName),
		inForce:   im.InForce,
		changes:   slices.Clone(im.Changes),
		snapshot:  im.Snapshot,
		owners:    New().owners,
	}
	s.memory = memory{
		recent:    restoreDecisions(im.Recent),
		older:     restoreDecisions(im.Older),
		forgotten: im.Forgotten,
	}
	if s.count() != im.count() {
		return nil, fmt.Errorf("snapshot at offset %d names an object twice", im.Offset)
	}
	if problems := s.reindexTokens(s.allTeams()); len(problems) > 0 {
		return nil, fmt.Errorf("snapshot at offset %d: %s", im.Offset, problems[0])
	}
	s.shares = s.totals()
	return s.sealed(), nil
}

func (s *State) count() int {
	n := 0
	for _, k := range config.Kinds() {
		n += s.Size(k)
	}
	return n
}

func (im Image) count() int {
	return len(im.Pools) + len(im.Stages) + len(im.Pipelines) + len(im.Presets) + len(im.Teams)
}

func (s *State) allTeams() []touched {
	list := make([]touched, 0, s.teams.objects.Len())
	for _, o := range s.teams.objects.All() {
		list = append(list, touched{after: &o.Spec})
	}
	slices.SortFunc(list, func(a, b touched) int { return cmp.Compare(a.after.Name, b.after.Name) })
	return list
}
