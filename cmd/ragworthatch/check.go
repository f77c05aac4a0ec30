package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/oper/admin"
)

// checkOptions are the options of check.
type checkOptions struct {
	operatorOptions
	against bool
}

func (o *checkOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	f.BoolVar(&o.against, "against", false, "compare with what is in force at --entry, and check the two together")
}

func checkCommand(s *streams) *command {
	var o checkOptions
	return &command{
		name:     "check",
		group:    groupOperate,
		synopsis: "check declarations, and compare them with what is in force",
		usage: `check FILE... [--against --entry ADDRESS]

Checks the declarations of all files together, as publish would. Without --against
nothing is asked of an entry, and the files must be complete in themselves.`,
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
	Valid       bool             `json:"valid"`
	Problems    []config.Problem `json:"problems"`
	Differences []difference     `json:"differences"`
}

func check(ctx context.Context, s *streams, o *checkOptions, files []string) error {
	if len(files) == 0 {
		return usagef("wants at least one file")
	}
	declared, err := loadObjects(files)
	if err != nil {
		return err
	}
	var c admin.Config
	if o.against {
		client, err := o.client()
		if err != nil {
			return err
		}
		if err := client.Get(ctx, admin.PathConfig, &c); err != nil {
			return err
		}
	}
	r := checkReport{Problems: merged(c, config.Change{Set: declared}).Validate()}
	r.Valid = len(r.Problems) == 0
	if o.against {
		r.Differences = differences(declared, c.Objects)
	}
	if err := s.print(o.json, r, r.text(o.against)); err != nil {
		return err
	}
	if !r.Valid {
		return fileError(fmt.Errorf("%d problems, the first: %s", len(r.Problems), r.Problems[0]))
	}
	return nil
}

func (r checkReport) text(against bool) string {
	var b strings.Builder
	for _, p := range r.Problems {
		fmt.Fprintln(&b, p)
	}
	if r.Valid {
		fmt.Fprintln(&b, "valid")
	}
	if against && len(r.Differences) == 0 {
		fmt.Fprintln(&b, "nothing differs from what is in force")
	}
	for _, d := range r.Differences {
		fmt.Fprintln(&b, d)
	}
	return b.String()
}
