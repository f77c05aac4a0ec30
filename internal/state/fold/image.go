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

// Image is the serializable form of a State, for snapshots.
type Image struct {
	Offset    int64                 `json:"offset"`
	Revision  int64                 `json:"revision"`
	Pools     []Object[pool.Spec]   `json:"pools"`
	Stages    []Object[stage.Spec]  `json:"stages"`
	Pipelines []Object[pipe.Spec]   `json:"pipelines"`
	Presets   []Object[preset.Spec] `json:"presets"`
	Teams     []Object[team.Spec]   `json:"teams"`
	InForce   PresetInForce         `json:"inForce"`
	Changes   []Change              `json:"changes"`
	Recent    []Decision            `json:"recent"`    // newer generation of the decision history
	Older     []Decision            `json:"older"`     // older generation
	Forgotten int64                 `json:"forgotten"` // highest offset of an evicted decision, or -1
	Snapshot  SnapshotRef           `json:"snapshot"`
}

// Image returns the serializable form of the state, its lists in a deterministic order.
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
		Recent:    sortedDecisions(s.decisions.recent),
		Older:     sortedDecisions(s.decisions.older),
		Forgotten: s.decisions.evictedUpTo,
		Snapshot:  s.snapshot,
	}
}

// FromImage rebuilds a state; it returns an error if two objects of a kind have the same name or two teams the same
// token.
func FromImage(im Image) (*State, error) {
	s := State{
		offset:      im.Offset,
		revision:    im.Revision,
		pools:       restoreTable(config.Pools, im.Pools, poolName),
		stages:      restoreTable(config.Stages, im.Stages, stageName),
		pipelines:   restoreTable(config.Pipelines, im.Pipelines, pipelineName),
		presets:     restoreTable(config.Presets, im.Presets, presetName),
		teams:       restoreTable(config.Teams, im.Teams, teamName),
		inForce:     im.InForce,
		changes:     slices.Clone(im.Changes),
		snapshot:    im.Snapshot,
		tokenOwners: New().tokenOwners,
	}
	s.decisions = decisionHistory{
		recent:      restoreDecisions(im.Recent),
		older:       restoreDecisions(im.Older),
		evictedUpTo: im.Forgotten,
	}
	if s.count() != im.count() {
		return nil, fmt.Errorf("snapshot at offset %d names an object twice", im.Offset)
	}
	if problems := s.updateTokenOwners(s.teamAdditions()); len(problems) > 0 {
		return nil, fmt.Errorf("snapshot at offset %d: %s", im.Offset, problems[0])
	}
	s.shareTotals = s.sumShares()
	return s.withLazyDigest(), nil
}

// count returns the number of objects of all kinds.
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

// teamAdditions returns all teams as additions, ordered by name, so that errors are deterministic.
func (s *State) teamAdditions() []teamChange {
	list := make([]teamChange, 0, s.teams.objects.Len())
	for _, o := range s.teams.objects.All() {
		list = append(list, teamChange{after: &o.Spec})
	}
	slices.SortFunc(list, func(a, b teamChange) int { return cmp.Compare(a.after.Name, b.after.Name) })
	return list
}
