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
			return runCheck(ctx, s, &o, args)
		},
	}
}

// checkReport is the output of check.
type checkReport struct {
	Valid    bool       `json:"valid"`
	Problems []string   `json:"problems"`
	Plan     *decl.Plan `json:"plan,omitempty"`
}

// runCheck checks declarations or platform files and prints the report.
func runCheck(ctx context.Context, s *streams, o *checkOptions, files []string) error {
	if len(files) == 0 {
		return usagef("wants at least one file")
	}
	if o.platform {
		if o.against || o.prune {
			return usagef("--platform goes with neither --against nor --prune")
		}
		return s.printCheckReport(o.json, newCheckReport(platformProblems(files)))
	}
	declared, err := loadDeclarations(files)
	if err != nil {
		return err
	}
	r, err := o.buildReport(ctx, declared)
	if err != nil {
		return err
	}
	return s.printCheckReport(o.json, r)
}

// printCheckReport prints a report and returns an error if it contains problems.
func (s *streams) printCheckReport(json bool, r checkReport) error {
	if err := s.print(json, r, r.text()); err != nil {
		return err
	}
	if !r.Valid {
		return fileError(fmt.Errorf("problems: %d, the first: %s", len(r.Problems), r.Problems[0]))
	}
	return nil
}

// platformProblems returns the errors in the platform's files.
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

// buildReport checks the declarations alone, or with --against together with what is in force.
func (o *checkOptions) buildReport(ctx context.Context, declared *decl.Declarations) (checkReport, error) {
	if !o.against {
		return newCheckReport(declared.Check()), nil
	}
	client, err := o.client()
	if err != nil {
		return checkReport{}, err
	}
	state, err := fetchConfig(ctx, client)
	if err != nil {
		return checkReport{}, err
	}
	plan := decl.Diff(declared.Objects, state, o.prune)
	r := newCheckReport(declared.Locate(applyChange(state.Config(), plan.Change).Validate()))
	r.Plan = &plan
	return r, nil
}

// newCheckReport returns a report of the problems; without any, the files are valid.
func newCheckReport(problems []error) checkReport {
	r := checkReport{Valid: len(problems) == 0, Problems: []string{}}
	for _, p := range problems {
		r.Problems = append(r.Problems, p.Error())
	}
	return r
}

// text formats the report for display.
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

// applyChange returns the configuration that would be in force after a change.
func applyChange(inForce config.Set, change config.Change) config.Set {
	objects := inForce.Objects()
	changed := map[config.Ref]bool{}
	for _, ref := range change.Refs() {
		changed[ref] = true
	}
	objects.Pools = append(removeChanged(objects.Pools, changed, config.Pools,
		func(s pool.Spec) string { return s.Name }),
		change.Set.Pools...)
	objects.Stages = append(removeChanged(objects.Stages, changed, config.Stages,
		func(s stage.Spec) string { return s.Name }),
		change.Set.Stages...)
	objects.Pipelines = append(removeChanged(objects.Pipelines, changed, config.Pipelines,
		func(s pipe.Spec) string { return s.Name }),
		change.Set.Pipelines...)
	objects.Presets = append(removeChanged(objects.Presets, changed, config.Presets,
		func(s preset.Spec) string { return s.Name }),
		change.Set.Presets...)
	objects.Teams = append(removeChanged(objects.Teams, changed, config.Teams,
		func(s team.Spec) string { return s.Name }),
		change.Set.Teams...)
	return objects.Set().WithInForce(inForce.InForce)
}

// removeChanged removes the items of a kind that are in changed; it reuses the slice.
func removeChanged[T any](items []T, changed map[config.Ref]bool, kind config.Kind, name func(T) string) []T {
	return slices.DeleteFunc(items, func(v T) bool { return changed[config.Ref{Kind: kind, Name: name(v)}] })
}
