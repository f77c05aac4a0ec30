package main

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/ops/load"
)

func loadCommand(s *streams) *command {
	var o loadOptions
	return &command{
		name:     "load",
		group:    groupTool,
		synopsis: "send requests at a fixed rate and report attainment",
		usage: `load --entry ADDRESS[,ADDRESS...] --mix NAME=WEIGHT[@DEADLINE][!],...

Sends requests as a team does, at random times of a fixed rate, whether or not earlier
ones are answered. Prints attainment, latencies counted from the time each request was
due, and failures by code. --token is the team's.`,
		flags: o.defineAll,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			options, err := o.checkAll()
			if err != nil {
				return err
			}
			l, err := load.New(options, caller.New("load"))
			if err != nil {
				return usagef("%w", err)
			}
			ctx, _ := stopSignals()
			report := l.Run(ctx)
			return s.print(o.json, report, report.String())
		},
	}
}
