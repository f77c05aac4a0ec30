package fold

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// validateChange rejects a change after which the configuration would be invalid. It checks only what the change can
// have invalidated, and updates the indexes of token digests and share totals.
func (s *State) validateChange(before *State, body record.ChangeBody) *Rejection {
	var problems []config.Problem
	if s.affectsStructure(body) {
		problems = append(problems, s.configWithoutTeams().ValidateStructure(s.hasTeam)...)
	}
	problems = append(problems, s.teamProblems(before, body)...)
	if len(problems) > 0 {
		return newInvalid(problems)
	}
	if problems := s.updateIndexes(before, body); len(problems) > 0 {
		return newInvalid(problems)
	}
	return nil
}

// affectsStructure reports whether the change can invalidate more than the teams that it sets.
func (s *State) affectsStructure(body record.ChangeBody) bool {
	onlySetsTeams := len(body.Remove) == 0 && len(body.Set.Teams) == len(body.Set.Refs())
	return !onlySetsTeams
}

// teamProblems returns the problems of the teams that the change sets, or of all teams if it removes a pipeline, which
// any of them may name.
func (s *State) teamProblems(before *State, body record.ChangeBody) []config.Problem {
	var problems []config.Problem
	if s.pipelines != before.pipelines && pipelineRemoved(before, s) {
		for _, o := range s.teams.objects.All() {
			problems = append(problems, config.ValidateTeam(o.Spec, s.pipelines.has)...)
		}
		return problems
	}
	for _, t := range body.Set.Teams {
		problems = append(problems, config.ValidateTeam(t, s.pipelines.has)...)
	}
	return problems
}

// pipelineRemoved reports whether a pipeline of the state before is missing in the state after.
func pipelineRemoved(before, after *State) bool {
	for name := range before.pipelines.objects.All() {
		if !after.pipelines.has(name) {
			return true
		}
	}
	return false
}

// teamChange holds one team before and after a change; nil where it does not exist.
type teamChange struct {
	before, after *team.Spec
}

// teamChanges returns the teams that the change sets or removes.
func (s *State) teamChanges(before *State, body record.ChangeBody) []teamChange {
	var list []teamChange
	add := func(name string) {
		list = append(list, teamChange{before: before.team(name), after: s.team(name)})
	}
	for _, t := range body.Set.Teams {
		add(t.Name)
	}
	for _, ref := range body.Remove {
		if ref.Kind == config.Teams {
			add(ref.Name)
		}
	}
	return list
}

// team returns the spec of a team, nil if there is no such team.
func (s *State) team(name string) *team.Spec {
	o, ok := s.teams.objects.Get(name)
	if !ok {
		return nil
	}
	return &o.Spec
}

// updateIndexes updates the token owners and share totals. It returns the problems that these show: a token that two
// teams have, and shares that add up to more than 1.
func (s *State) updateIndexes(before *State, body record.ChangeBody) []config.Problem {
	teams := s.teamChanges(before, body)
	problems := s.updateTokenOwners(teams)
	if s.presets != before.presets {
		s.shareTotals = s.sumShares()
	} else if len(teams) > 0 {
		s.shareTotals = s.adjustedShares(teams)
	}
	for name, total := range s.shareTotals {
		if total > config.FullShare {
			problems = append(problems, config.ShareProblem(name, total))
		}
	}
	slices.SortFunc(problems, func(a, b config.Problem) int { return compareStrings(a.String(), b.String()) })
	return problems
}

// updateTokenOwners updates the token owners and returns a problem for each team with the token of another.
func (s *State) updateTokenOwners(teams []teamChange) []config.Problem {
	for _, t := range teams {
		if t.before != nil {
			s.tokenOwners = s.tokenOwners.Without(t.before.TokenDigest)
		}
	}
	var problems []config.Problem
	for _, t := range teams {
		if t.after == nil {
			continue
		}
		if owner, ok := s.tokenOwners.Get(t.after.TokenDigest); ok {
			problems = append(problems, config.TokenProblem(t.after.Name, owner))
			continue
		}
		s.tokenOwners = s.tokenOwners.With(t.after.TokenDigest, t.after.Name, trie.Hash{})
	}
	return problems
}

// sumShares recomputes the share totals from all teams, for each preset and for none.
func (s *State) sumShares() map[string]int64 {
	all := s.Config()
	out := map[string]int64{"": all.ShareTotal("")}
	for name := range all.Presets {
		out[name] = all.ShareTotal(name)
	}
	return out
}

// adjustedShares returns the share totals after the given teams changed, without summing over all teams.
func (s *State) adjustedShares(teams []teamChange) map[string]int64 {
	out := s.shareTotals
	presets := s.presets.specs()
	for name, total := range s.shareTotals {
		p := presets[name]
		for _, t := range teams {
			if t.before != nil {
				total -= config.TeamShare(p, *t.before)
			}
			if t.after != nil {
				total += config.TeamShare(p, *t.after)
			}
		}
		out = withEntry(out, name, total)
	}
	return out
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
