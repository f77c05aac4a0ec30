package decl

import (
	"fmt"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// ChangedObject is an object whose declaration differs from the one in force.
type ChangedObject struct {
	Ref         config.Ref          `json:"ref"`
	InForce     fold.Meta           `json:"inForce"`
	Differences []config.Difference `json:"differences"` // yours: declared; theirs: in force
}

// Plan lists the differences between declarations and the configuration in force.
type Plan struct {
	Offset int64 `json:"offset"` // offset of the configuration in force
	// Added, Changed and Removed list the objects that Change affects.
	Added   []config.Ref    `json:"added"`
	Changed []ChangedObject `json:"changed"`
	Removed []config.Ref    `json:"removed"`
	// Undeclared objects are in force but not declared, and are kept.
	Undeclared []config.Ref  `json:"undeclared"`
	Change     config.Change `json:"change"`
}

// Diff compares declarations with a state. Objects that are not declared are removed if prune is set, kept otherwise.
func Diff(o config.Objects, state *fold.State, prune bool) Plan {
	p := Plan{Offset: state.Offset()}
	p.Change.Base = map[config.Ref]int64{}
	p.Change.Set = config.Objects{
		Pools:     changedSpecs(&p, state, config.Pools, o.Pools, func(p pool.Spec) string { return p.Name }),
		Stages:    changedSpecs(&p, state, config.Stages, o.Stages, func(s stage.Spec) string { return s.Name }),
		Pipelines: changedSpecs(&p, state, config.Pipelines, o.Pipelines, func(l pipe.Spec) string { return l.Name }),
		Presets:   changedSpecs(&p, state, config.Presets, o.Presets, func(s preset.Spec) string { return s.Name }),
		Teams:     changedSpecs(&p, state, config.Teams, o.Teams, func(t team.Spec) string { return t.Name }),
	}
	missing := undeclared(o, state)
	if !prune {
		p.Undeclared = missing
		return p
	}
	p.Removed = missing
	p.Change.Remove = missing
	for _, ref := range missing {
		p.Change.Base[ref] = state.Meta(ref).Revision
	}
	return p
}

// changedSpecs returns the specs that are new or differ from those in force, and records them in the plan.
func changedSpecs[T any](p *Plan, state *fold.State, kind config.Kind, specs []T, name func(T) string) []T {
	var out []T
	for _, spec := range specs {
		ref := config.Ref{Kind: kind, Name: name(spec)}
		now, ok := state.Spec(ref)
		meta := state.Meta(ref)
		if !ok {
			p.Added = append(p.Added, ref)
		} else {
			differences := config.Differences(spec, now)
			if len(differences) == 0 {
				continue
			}
			p.Changed = append(p.Changed, ChangedObject{Ref: ref, InForce: meta, Differences: differences})
		}
		p.Change.Base[ref] = meta.Revision
		out = append(out, spec)
	}
	return out
}

// undeclared returns the objects of the state that are not declared.
func undeclared(o config.Objects, state *fold.State) []config.Ref {
	declared := map[config.Ref]bool{}
	for _, ref := range o.Refs() {
		declared[ref] = true
	}
	var out []config.Ref
	for _, ref := range state.Refs() {
		if !declared[ref] {
			out = append(out, ref)
		}
	}
	return out
}

// Empty reports whether there is nothing to publish.
func (p Plan) Empty() bool { return p.Change.Empty() }

// Text formats the plan for display, with one line for each object and each field that differs.
func (p Plan) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "compared with offset %d\n", p.Offset)
	for _, ref := range p.Added {
		fmt.Fprintf(&b, "+ %s\n", ref)
	}
	for _, c := range p.Changed {
		fmt.Fprintf(&b, "~ %s (in force since revision %d, by %s)\n", c.Ref, c.InForce.Revision, c.InForce.Author)
		for _, d := range c.Differences {
			fmt.Fprintf(&b, "    %s: %s -> %s\n", d.Field, orNone(d.Theirs), orNone(d.Yours))
		}
	}
	for _, ref := range p.Removed {
		fmt.Fprintf(&b, "- %s\n", ref)
	}
	for _, ref := range p.Undeclared {
		fmt.Fprintf(&b, "  %s is in force but not declared; it stays unless --prune is given\n", ref)
	}
	if p.Empty() {
		b.WriteString("nothing to publish\n")
	}
	return b.String()
}

// orNone replaces an empty text.
func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
