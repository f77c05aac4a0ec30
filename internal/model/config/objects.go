package config

import (
	"maps"
	"slices"
)

// Objects returns the set's declarations as lists ordered by name.
func (s Set) Objects() Objects {
	return Objects{
		Pools:     sorted(s.Pools),
		Stages:    sorted(s.Stages),
		Pipelines: sorted(s.Pipelines),
		Presets:   sorted(s.Presets),
		Teams:     sorted(s.Teams),
	}
}

func sorted[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}
