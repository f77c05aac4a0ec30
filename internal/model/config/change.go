package config

import (
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// Absent is the base revision of an object that does not exist yet.
const Absent int64 = -1

// Objects is a list of declared objects per kind.
type Objects struct {
	Pools     []pool.Spec   `json:"pools,omitempty" yaml:"pools"`
	Stages    []stage.Spec  `json:"stages,omitempty" yaml:"stages"`
	Pipelines []pipe.Spec   `json:"pipelines,omitempty" yaml:"pipelines"`
	Presets   []preset.Spec `json:"presets,omitempty" yaml:"presets"`
	Teams     []team.Spec   `json:"teams,omitempty" yaml:"teams"`
}

// Refs returns references to the objects, in the order of their kinds.
func (o Objects) Refs() []Ref {
	var refs []Ref
	for _, p := range o.Pools {
		refs = append(refs, Ref{Kind: Pools, Name: p.Name})
	}
	for _, s := range o.Stages {
		refs = append(refs, Ref{Kind: Stages, Name: s.Name})
	}
	for _, p := range o.Pipelines {
		refs = append(refs, Ref{Kind: Pipelines, Name: p.Name})
	}
	for _, p := range o.Presets {
		refs = append(refs, Ref{Kind: Presets, Name: p.Name})
	}
	for _, t := range o.Teams {
		refs = append(refs, Ref{Kind: Teams, Name: t.Name})
	}
	return refs
}

// Set returns the objects by name; of two with the same name the later one is kept.
func (o Objects) Set() Set {
	return Set{
		Pools:     byName(o.Pools, func(p pool.Spec) string { return p.Name }),
		Stages:    byName(o.Stages, func(s stage.Spec) string { return s.Name }),
		Pipelines: byName(o.Pipelines, func(p pipe.Spec) string { return p.Name }),
		Presets:   byName(o.Presets, func(p preset.Spec) string { return p.Name }),
		Teams:     byName(o.Teams, func(t team.Spec) string { return t.Name }),
	}
}

func byName[V any](list []V, name func(V) string) map[string]V {
	m := make(map[string]V, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

// Change lists the objects that one publish sets and removes atomically.
type Change struct {
	Set    Objects `json:"set"`
	Remove []Ref   `json:"remove,omitempty"`
	// Base holds the revision of each object that the author saw, Absent for a new object; the publisher fills in
	// missing entries from its own state.
	Base map[Ref]int64 `json:"base,omitempty"`
}

// Refs returns references to the objects that are set, then to those that are removed.
func (c Change) Refs() []Ref { return append(c.Set.Refs(), c.Remove...) }

// Empty reports whether nothing is set or removed.
func (c Change) Empty() bool { return len(c.Refs()) == 0 }
