package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/oper/admin"
)

// changeOptions are the options of commands that change one thing for a reason.
type changeOptions struct {
	operatorOptions
	authorOptions
}

func (o *changeOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	o.authorOptions.define(f, true)
}

func (o *changeOptions) checked() (*admin.Client, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	return client, o.authorOptions.check(true)
}

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
			client, err := o.checked()
			if err != nil {
				return err
			}
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			var r admin.DrainReply
			req := admin.DrainRequest{Host: host, Author: o.author, Reason: o.reason}
			if err := client.Post(ctx, admin.PathDrain, req, &r); err != nil {
				return unlessRefused(err, "drain it again to be sure")
			}
			return s.print(o.json, r, fmt.Sprintf("%s is draining with %d calls in flight\n", r.Host, r.InFlight))
		},
	}
}
