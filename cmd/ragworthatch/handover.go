package main

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/report"
)

func handoverCommand(s *streams) *command {
	var o operatorOptions
	return &command{
		name:     "handover",
		group:    groupOperate,
		synopsis: "print what is in force, for the next pair of operators",
		usage: `handover

Prints the preset in force, since when and by whom; revision, offset and digest, also in
a form to be read aloud; the last changes; processes that lag; upstreams that drain or
are suspect; requests in quarantine; actions that may have run. Two operators who ask
two entries get the same digest, or are told who lags.`,
		flags: o.define,
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			var r report.Report
			if err := client.Get(ctx, admin.PathHandover, &r); err != nil {
				return err
			}
			return s.print(o.json, r, r.Text())
		},
	}
}
