package config

import (
	"maps"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// Set is an immutable set of declarations by name; its maps must not be modified.
type Set struct {
	Pools     map[string]pool.Spec
	Stages    map[string]stage.Spec
	Pipelines map[string]pipe.Spec
	Presets   map[string]preset.Spec
	Teams     map[string]team.Spec
	// InForce is the name of the preset in force; empty before the first choice.
	InForce string
}

// WithInForce returns a copy with another preset in force.
func (s Set) WithInForce(name string) Set {
	s.InForce = name
	return s
}

// WithPool returns a copy with p added or replaced.
func (s Set) WithPool(p pool.Spec) Set {
	s.Pools = withEntry(s.Pools, p.Name, p)
	return s
}

// WithStage returns a copy with st added or replaced.
func (s Set) WithStage(st stage.Spec) Set {
	s.Stages = withEntry(s.Stages, st.Name, st)
	return s
}

// WithPipeline returns a copy with p added or replaced.
func (s Set) WithPipeline(p pipe.Spec) Set {
	s.Pipelines = withEntry(s.Pipelines, p.Name, p)
	return s
}

// WithPreset returns a copy with p added or replaced.
func (s Set) WithPreset(p preset.Spec) Set {
	s.Presets = withEntry(s.Presets, p.Name, p)
	return s
}

// WithTeam returns a copy with t added or replaced.
func (s Set) WithTeam(t team.Spec) Set {
	s.Teams = withEntry(s.Teams, t.Name, t)
	return s
}

// Preset returns the preset in force; false before the first choice.
func (s Set) Preset() (preset.Spec, bool) {
	p, ok := s.Presets[s.InForce]
	return p, ok
}

// StagesOf returns the stages of a pipeline in order, without those that the preset in force skips.
func (s Set) StagesOf(pipeline string) []stage.Spec {
	settings := s.Presets[s.InForce].Pipelines[pipeline]
	skip := make(map[string]bool, len(settings.Skip))
	for _, name := range settings.Skip {
		skip[name] = true
	}
	var out []stage.Spec
	for _, name := range s.Pipelines[pipeline].Stages {
		if !skip[name] {
			out = append(out, s.Stages[name])
		}
	}
	return out
}

func withEntry[V any](m map[string]V, name string, v V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]V{}
	}
	c[name] = v
	return c
}
