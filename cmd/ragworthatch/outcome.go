package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

func outcomeCommand(s *streams) *command {
	var o outcomeOptions
	return &command{
		name:     "outcome",
		group:    groupOperate,
		synopsis: "tell what became of an action",
		usage: `outcome KEY --team TEAM

Prints what the log records of the action with a key: "done" with its answer,
"claimed" while it runs, "released" if it did not run, "mayHaveRun" if nobody can tell,
"settled" after an operator's decision, "unknown" if there is no record.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			key, err := oneArgument(args, "the action's key")
			if err != nil {
				return err
			}
			if err := o.checkAll(); err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			var r admin.Outcome
			if err := client.Get(ctx, admin.OutcomePath(key, o.team, o.service), &r); err != nil {
				return err
			}
			return s.print(o.json, r, outcomeText(r))
		},
	}
}

// outcomeText formats the outcome of an action for display.
func outcomeText(r admin.Outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n  state    %s\n  verdict  %s\n", r.Key, r.State, r.Verdict)
	if r.Team != "" {
		fmt.Fprintf(&b, "  team     %s\n", r.Team)
	}
	if r.Service != "" {
		fmt.Fprintf(&b, "  service  %s\n", r.Service)
	}
	if r.Author != "" {
		fmt.Fprintf(&b, "  settled  by %s: %s\n", r.Author, r.Reason)
	}
	if len(r.Answer) > 0 {
		fmt.Fprintf(&b, "  answer   %s\n", r.Answer)
	}
	return b.String()
}

func settleCommand(s *streams) *command {
	var o settleOptions
	return &command{
		name:     "settle",
		group:    groupOperate,
		synopsis: "decide about an action that nobody can tell of",
		usage: `settle KEY --team TEAM --service POOL --verdict ran|notRun --reason SENTENCE

Records your decision about an action in state "mayHaveRun", after you have looked at
the service itself. The record holds author and reason and is final.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			key, err := oneArgument(args, "the action's key")
			if err != nil {
				return err
			}
			if err := o.checkAll(); err != nil {
				return err
			}
			client, err := o.checkedClient()
			if err != nil {
				return err
			}
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			req := admin.SettleActionRequest{Team: o.team, Service: o.service, Author: o.author, Reason: o.reason,
				Verdict: fault.Verdict(o.verdict)}
			var r admin.Outcome
			if err := client.Post(ctx, admin.OutcomePath(key, "", ""), req, &r); err != nil {
				return unknownUnlessNotRun(err, "see what is recorded with: "+programName+" outcome "+key)
			}
			return s.print(o.json, r, outcomeText(r))
		},
	}
}
