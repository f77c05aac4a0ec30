package fold

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// checkWhole rejects a change after which the configuration would be invalid; it looks only at what the change can
// have broken, and keeps the indexes of token digests and shares.
func (s *State) checkWhole(before *State, body record.ChangeBody) *Rejection {
	var problems []config.Problem
	if s.structured(body) {
		problems = append(problems, s.structure().ValidateStructure(s.hasTeam)...)
	}
	problems = append(problems, s.teamProblems(before, body)...)
	if len(problems) > 0 {
		return invalid(problems)
	}
	if problems := s.reindex(before, body); len(problems) > 0 {
		return invalid(problems)
	}
	return nil
}

// structured says whether the change can break more than the teams that it sets.
func (s *State) structured(body record.ChangeBody) bool {
	onlySetsTeams := len(body.Remove) == 0 && len(body.Set.Teams) == len(body.Set.Refs())
	return !onlySetsTeams
}

func (s *State) teamProblems(before *State, body record.ChangeBody) []config.Problem {
	var problems []config.Problem
	if s.pipelines != before.pipelines && lostNames(before, s) {
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

func lostNames(before, after *State) bool {
	for name := range before.pipelines.objects.All() {
		if !after.pipelines.has(name) {
			return true
		}
	}
	return false
}

// touched is one team before and after a change; nil where it does not exist.
type touched struct {
	before, after *team.Spec
}

func (s *State) touchedTeams(before *State, body record.ChangeBody) []touched {
	var list []touched
	add := func(name string) {
		list = append(list, touched{before: before.team(name), after: s.team(name)})
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

func (s *State) team(name string) *team.Spec {
	o, ok := s.teams.objects.Get(name)
	if !ok {
		return nil
	}
	return &o.Spec
}

func (s *State) reindex(before *State, body record.ChangeBody) []config.Problem {
	teams := s.touchedTeams(before, body)
	problems := s.reindexTokens(teams)
	if s.presets != before.presets {
		s.shares = s.totals()
	} else if len(teams) > 0 {
		s.shares = s.adjusted(teams)
	}
	for name, total := range s.shares {
		if total > config.WholeShare {
			problems = append(problems, config.ShareProblem(name, total))
		}
	}
	slices.SortFunc(problems, func(a, b config.Problem) int { return compareText(a.String(), b.String()) })
	return problems
}

func (s *State) reindexTokens(teams []touched) []config.Problem {
	for _, t := range teams {
		if t.before != nil {
			s.owners = s.owners.Without(t.before.TokenDigest)
		}
	}
	var problems []config.Problem
	for _, t := range teams {
		if t.after == nil {
			continue
		}
		if owner, ok := s.owners.Get(t.after.TokenDigest); ok {
			problems = append(problems, config.TokenProblem(t.after.Name, owner))
			continue
		}
		s.owners = s.owners.With(t.after.TokenDigest, t.after.Name, trie.Leaf{})
	}
	return problems
}

// totals sums all shares anew, under each preset and under none.
func (s *State) totals() map[string]int64 {
	all := s.Config()
	out := map[string]int64{"": all.ShareTotal("")}
	for name := range all.Presets {
		out[name] = all.ShareTotal(name)
	}
	return out
}

// adjusted returns the totals after some teams changed.
func (s *State) adjusted(teams []touched) map[string]int64 {
	out := s.shares
	presets := s.presets.specs()
	for name, total := range s.shares {
		p := presets[name]
		for _, t := range teams {
			if t.before != nil {
				total -= config.ShareUnder(p, *t.before)
			}
			if t.after != nil {
				total += config.ShareUnder(p, *t.after)
			}
		}
		out = replaced(out, name, total)
	}
	return out
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
