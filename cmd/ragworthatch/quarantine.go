package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

func quarantineCommand(s *streams) *command {
	var o changeOptions
	return &command{
		name:     "quarantine",
		group:    groupOperate,
		synopsis: "list or lift requests that crash upstreams",
		usage: `quarantine list | quarantine lift FINGERPRINT --reason SENTENCE

"list" prints the fingerprints of requests that were in flight when upstreams crashed:
suspects run alone, those in quarantine are refused. "lift" lets one run again.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			switch {
			case len(args) == 1 && args[0] == "list":
				return listQuarantine(ctx, s, &o)
			case len(args) == 2 && args[0] == "lift":
				return liftQuarantine(ctx, s, &o, args[1])
			default:
				return usagef("wants \"list\" or \"lift FINGERPRINT\"")
			}
		},
	}
}

// listQuarantine prints the suspect and quarantined fingerprints.
func listQuarantine(ctx context.Context, s *streams, o *changeOptions) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	var q admin.Quarantine
	if err := client.Get(ctx, admin.PathQuarantine, &q); err != nil {
		return err
	}
	return s.print(o.json, q, quarantineText(q))
}

// liftQuarantine lifts the quarantine of a fingerprint and prints the list.
func liftQuarantine(ctx context.Context, s *streams, o *changeOptions, fingerprint string) error {
	client, err := o.checkedClient()
	if err != nil {
		return err
	}
	var q admin.Quarantine
	req := admin.LiftRequest{Fingerprint: fingerprint, Author: o.author, Reason: o.reason}
	if err := client.Post(ctx, admin.PathLift, req, &q); err != nil {
		return unknownUnlessNotRun(err, "see what is in quarantine with: "+programName+" quarantine list")
	}
	return s.print(o.json, q, quarantineText(q))
}

// quarantineText formats the marked fingerprints, one a line.
func quarantineText(q admin.Quarantine) string {
	if len(q.Marks) == 0 {
		return "no fingerprints\n"
	}
	var b strings.Builder
	for _, m := range q.Marks {
		fmt.Fprintf(&b, "%-12s %s  %d crashes, until %s\n", m.State, m.Fingerprint, len(m.Crashes), m.Expires.Format(time.RFC3339))
	}
	return b.String()
}
