package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/oper/admin"
)

// difference is one declared object that differs from the one in force.
type difference struct {
	Ref    config.Ref          `json:"ref"`
	New    bool                `json:"new,omitempty"`
	Fields []config.Difference `json:"fields,omitempty"`
}

// String renders the object with one line for each field.
func (d difference) String() string {
	if d.New {
		return fmt.Sprintf("%s: new", d.Ref)
	}
	lines := []string{fmt.Sprintf("%s:", d.Ref)}
	for _, f := range d.Fields {
		lines = append(lines, fmt.Sprintf("  %s: %s, in force %s", f.Field, orNone(f.Yours), orNone(f.Theirs)))
	}
	return strings.Join(lines, "\n")
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// differences compares declared objects with those in force, in the order of kinds and names.
func differences(declared, inForce config.Objects) []difference {
	yours, theirs := specs(declared), specs(inForce)
	var out []difference
	for _, ref := range slices.SortedFunc(maps.Keys(yours), config.Ref.Compare) {
		current, ok := theirs[ref]
		if !ok {
			out = append(out, difference{Ref: ref, New: true})
			continue
		}
		if fields := config.Differences(yours[ref], current); len(fields) > 0 {
			out = append(out, difference{Ref: ref, Fields: fields})
		}
	}
	return out
}

func specs(o config.Objects) map[config.Ref]any {
	out := map[config.Ref]any{}
	for _, s := range o.Pools {
		out[config.Ref{Kind: config.Pools, Name: s.Name}] = s
	}
	for _, s := range o.Stages {
		out[config.Ref{Kind: config.Stages, Name: s.Name}] = s
	}
	for _, s := range o.Pipelines {
		out[config.Ref{Kind: config.Pipelines, Name: s.Name}] = s
	}
	for _, s := range o.Presets {
		out[config.Ref{Kind: config.Presets, Name: s.Name}] = s
	}
	for _, s := range o.Teams {
		out[config.Ref{Kind: config.Teams, Name: s.Name}] = s
	}
	return out
}

// only keeps the objects that differ.
func only(o config.Objects, changed []difference) config.Objects {
	wanted := map[config.Ref]bool{}
	for _, d := range changed {
		wanted[d.Ref] = true
	}
	return config.Objects{
		Pools:     keep(o.Pools, func(s pool.Spec) bool { return wanted[config.Ref{Kind: config.Pools, Name: s.Name}] }),
		Stages:    keep(o.Stages, func(s stage.Spec) bool { return wanted[config.Ref{Kind: config.Stages, Name: s.Name}] }),
		Pipelines: keep(o.Pipelines, func(s pipe.Spec) bool { return wanted[config.Ref{Kind: config.Pipelines, Name: s.Name}] }),
		Presets:   keep(o.Presets, func(s preset.Spec) bool { return wanted[config.Ref{Kind: config.Presets, Name: s.Name}] }),
		Teams:     keep(o.Teams, func(s team.Spec) bool { return wanted[config.Ref{Kind: config.Teams, Name: s.Name}] }),
	}
}

func keep[T any](list []T, wanted func(T) bool) []T {
	var out []T
	for _, v := range list {
		if wanted(v) {
			out = append(out, v)
		}
	}
	return out
}

// bases are the revisions that a change is based on; limit, unless noBase, is the newest
// revision that its author has seen.
func bases(refs []config.Ref, c admin.Config, limit int64) map[config.Ref]int64 {
	out := map[config.Ref]int64{}
	for _, ref := range refs {
		revision, ok := c.Revisions[ref]
		if !ok {
			revision = config.Absent
		}
		if limit != noBase && revision > limit {
			revision = limit
		}
		out[ref] = revision
	}
	return out
}

// merged is what would be in force after a change.
func merged(c admin.Config, change config.Change) config.Set {
	set := c.Objects.Set()
	for _, s := range change.Set.Pools {
		set = set.WithPool(s)
	}
	for _, s := range change.Set.Stages {
		set = set.WithStage(s)
	}
	for _, s := range change.Set.Pipelines {
		set = set.WithPipeline(s)
	}
	for _, s := range change.Set.Presets {
		set = set.WithPreset(s)
	}
	for _, s := range change.Set.Teams {
		set = set.WithTeam(s)
	}
	return set.WithInForce(c.InForce)
}
