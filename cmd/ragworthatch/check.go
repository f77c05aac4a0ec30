package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/ops/decl"
	"github.com/ragworthatch/ragworthatch/platform"
)

func checkCommand(s *streams) *command {
	var o checkOptions
	return &command{
		name:     "check",
		group:    groupOperate,
		synopsis: "check declarations, and compare them with what is in force",
		usage: `check FILE... [--against --entry ADDRESS | --platform]

Checks the declarations of all files together, as publish would. Without --against
nothing is asked of an entry, and the files must be complete in themselves.

With --platform, each file is one that edge reads on the operators' platform: a
configuration if its name ends in .json, settings otherwise.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			return check(ctx, s, &o, args)
		},
	}
}

// checkReport is what check prints.
type checkReport struct {
	Valid    bool       `json:"valid"`
	Problems []string   `json:"problems"`
	Plan     *decl.Plan `json:"plan,omitempty"`
}

func check(ctx context.Context, s *streams, o *checkOptions, files []string) error {
	if len(files) == 0 {
		return usagef("wants at least one file")
	}
	if o.platform {
		if o.against || o.prune {
			return usagef("--platform goes with neither --against nor --prune")
		}
		return s.report(o.json, newCheckReport(platformProblems(files)))
	}
	declared, err := declarations(files)
	if err != nil {
		return err
	}
	r, err := o.report(ctx, declared)
	if err != nil {
		return err
	}
	return s.report(o.json, r)
}

// report prints a report and fails if it holds problems.
func (s *streams) report(json bool, r checkReport) error {
	if err := s.print(json, r, r.text()); err != nil {
		return err
	}
	if !r.Valid {
		return fileError(fmt.Errorf("problems: %d, the first: %s", len(r.Problems), r.Problems[0]))
	}
	return nil
}

// platformProblems lists what is wrong with the platform's files.
func platformProblems(files []string) []error {
	var problems []error
	for _, file := range files {
		if filepath.Ext(file) != ".json" {
			if _, err := platform.LoadSettings(file); err != nil {
				problems = append(problems, err)
			}
			continue
		}
		data, err := os.ReadFile(file)
		if err == nil {
			_, err = platform.DecodeRules(data)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", file, err))
		}
	}
	return problems
}

func (o *checkOptions) report(ctx context.Context, declared *decl.Declarations) (checkReport, error) {
	if !o.against {
		return newCheckReport(declared.Check()), nil
	}
	client, err := o.client()
	if err != nil {
		return checkReport{}, err
	}
	state, err := inForce(ctx, client)
	if err != nil {
		return checkReport{}, err
	}
	plan := decl.Diff(declared.Objects, state, o.prune)
	r := newCheckReport(declared.Locate(merged(state.Config(), plan.Change).Validate()))
	r.Plan = &plan
	return r, nil
}

func newCheckReport(problems []error) checkReport {
	r := checkReport{Valid: len(problems) == 0, Problems: []string{}}
	for _, p := range problems {
		r.Problems = append(r.Problems, p.Error())
	}
	return r
}

func (r checkReport) text() string {
	var b strings.Builder
	for _, p := range r.Problems {
		fmt.Fprintln(&b, p)
	}
	if r.Valid {
		fmt.Fprintln(&b, "valid")
	}
	if r.Plan != nil {
		b.WriteString(r.Plan.Text())
	}
	return b.String()
}

// merged is what would be in force after a change.
func merged(inForce config.Set, change config.Change) config.Set {
	objects := inForce.Objects()
	gone := map[config.Ref]bool{}
	for _, ref := range change.Refs() {
		gone[ref] = true
	}
	objects.Pools = append(without(objects.Pools, gone, config.Pools, func(s pool.Spec) string { return s.Name }), change.Set.Pools...)
	objects.Stages = append(without(objects.Stages, gone, config.Stages, func(s stage.Spec) string { return s.Name }), change.Set.Stages...)
	objects.Pipelines = append(without(objects.Pipelines, gone, config.Pipelines, func(s pipe.Spec) string { return s.Name }), change.Set.Pipelines...)
	objects.Presets = append(without(objects.Presets, gone, config.Presets, func(s preset.Spec) string { return s.Name }), change.Set.Presets...)
	objects.Teams = append(without(objects.Teams, gone, config.Teams, func(s team.Spec) string { return s.Name }), change.Set.Teams...)
	return objects.Set().WithInForce(inForce.InForce)
}

func without[T any](list []T, gone map[config.Ref]bool, kind config.Kind, name func(T) string) []T {
	return slices.DeleteFunc(list, func(v T) bool { return gone[config.Ref{Kind: kind, Name: name(v)}] })
}
