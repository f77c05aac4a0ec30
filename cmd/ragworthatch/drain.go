package main

import (
	"context"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

func drainCommand(s *streams) *command {
	var o changeOptions
	return &command{
		name:     "drain",
		group:    groupOperate,
		synopsis: "shut a host down gracefully",
		usage: `drain HOST

Tells the side on a host to refuse new calls, to finish those in flight and to end.
Entries stop choosing it at once.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			host, err := oneArgument(args, "the host's name")
			if err != nil {
				return err
			}
			client, err := o.checkedClient()
			if err != nil {
				return err
			}
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			var r admin.DrainReply
			req := admin.DrainRequest{Host: host, Author: o.author, Reason: o.reason}
			if err := client.Post(ctx, admin.PathDrain, req, &r); err != nil {
				return unknownUnlessNotRun(err, "drain it again to be sure")
			}
			return s.print(o.json, r, fmt.Sprintf("%s is draining with %d calls in flight\n", r.Host, r.InFlight))
		},
	}
}
