package config

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// FullShare is a share of 1 in the units of ShareUnits.
const FullShare int64 = 1_000_000_000

// ShareUnits turns a fraction between 0 and 1 into whole units, so that sums do not depend on the order; it rounds down.
func ShareUnits(share float64) int64 {
	return int64(math.Floor(min(max(share, 0), 1) * float64(FullShare)))
}

// TeamShare is the share of a team under a preset, in the units of ShareUnits; a team with a fixed rate has none.
func TeamShare(p preset.Spec, t team.Spec) int64 {
	if t.RatePerSecond > 0 {
		return 0
	}
	if share, ok := p.Shares[t.Name]; ok {
		return ShareUnits(share)
	}
	return ShareUnits(t.Share)
}

// ShareTotal sums the teams' shares under a preset, or without any for the empty name.
func (s Set) ShareTotal(presetName string) int64 {
	p := s.Presets[presetName]
	var total int64
	for _, t := range s.Teams {
		total += TeamShare(p, t)
	}
	return total
}

// ShareProblem is the fault of shares that add up to more than the whole.
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
