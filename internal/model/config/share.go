package config

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// FullShare is a share of 1, in units of 1e-9.
const FullShare int64 = 1_000_000_000

// ShareUnits converts a fraction between 0 and 1 to units of 1e-9, rounded down; integers make sums independent of the
// order of addition.
func ShareUnits(share float64) int64 {
	return int64(math.Floor(min(max(share, 0), 1) * float64(FullShare)))
}

// TeamShare returns the share of a team under a preset, in units of 1e-9; a team with a fixed rate has none.
func TeamShare(p preset.Spec, t team.Spec) int64 {
	if t.RatePerSecond > 0 {
		return 0
	}
	if share, ok := p.Shares[t.Name]; ok {
		return ShareUnits(share)
	}
	return ShareUnits(t.Share)
}

// ShareTotal returns the sum of the teams' shares under a preset, in units of 1e-9; the empty name means no preset.
func (s Set) ShareTotal(presetName string) int64 {
	p := s.Presets[presetName]
	var total int64
	for _, t := range s.Teams {
		total += TeamShare(p, t)
	}
	return total
}

// ShareProblem returns the problem of shares that add up to more than FullShare.
func ShareProblem(presetName string, total int64) Problem {
	ref := Ref{Kind: Teams, Name: "*"}
	if presetName != "" {
		ref = Ref{Kind: Presets, Name: presetName}
	}
	return Problem{
		Object:   ref.String(),
		Field:    "shares",
		Expected: fmt.Sprintf("shares that add up to 1 at most, not %.6f", float64(total)/float64(FullShare)),
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
