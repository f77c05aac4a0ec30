package main

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/decl"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

func publishCommand(s *streams) *command {
	var o publishOptions
	return &command{
		name:     "publish",
		group:    groupOperate,
		synopsis: "publish declarations, all or nothing",
		usage: `publish FILE... | publish --remove REFERENCE | publish --settle NONCE

Publishes the declared objects that differ from those in force, all of them or none,
and prints "accepted" only once the entry has read its record back from the log.
Prints "rejected" with who came first and what differs, or with the faults found.
If the answer is lost, prints the nonce with which --settle finds out; a publish that
has not come by then is forbidden for good.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			client, err := o.client()
			if err != nil {
				return err
			}
			if o.settle != "" {
				return settlePublish(ctx, s, &o, client, args)
			}
			return publishFiles(ctx, s, &o, client, args)
		},
	}
}

// settlePublish asks the entry for the outcome of an earlier publish and prints it.
func settlePublish(ctx context.Context, s *streams, o *publishOptions, client *admin.Client, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var r publish.Result
	if err := client.Post(ctx, admin.PathSettle, admin.SettleRequest{Nonce: o.settle}, &r); err != nil {
		return unknownUnlessNotRun(err, "settle it again")
	}
	return s.printResult(o.json, r)
}

// publishFiles publishes what differs between the files and the configuration in force.
func publishFiles(ctx context.Context, s *streams, o *publishOptions, client *admin.Client, files []string) error {
	if len(files) == 0 && len(o.remove) == 0 {
		return usagef("wants files, --remove or --settle")
	}
	if err := o.authorOptions.check(false); err != nil {
		return err
	}
	declared, err := loadDeclarations(files)
	if err != nil {
		return err
	}
	state, err := fetchConfig(ctx, client)
	if err != nil {
		return err
	}
	change := o.change(declared, state)
	if change.Empty() {
		return s.print(o.json, unchanged{Unchanged: true, Revision: state.Revision()}, "nothing differs from what is in force\n")
	}
	return postPublish(ctx, s, o, client, admin.PublishRequest{
		Author: o.author,
		Nonce:  record.NewNonce(state.Offset()+1, uuid.New()),
		Change: change,
	})
}

// change returns the change that the files and the flags --remove, --prune and --base ask for.
func (o *publishOptions) change(declared *decl.Declarations, state *fold.State) config.Change {
	change := decl.Diff(declared.Objects, state, o.prune).Change
	for _, ref := range o.remove {
		if !slices.Contains(change.Remove, ref) {
			change.Remove = append(change.Remove, ref)
			change.Base[ref] = state.Meta(ref).Revision
		}
	}
	if o.base != baseUnset {
		capBases(change.Base, o.base)
	}
	return change
}

// postPublish sends a publish to the entry and prints its result.
func postPublish(ctx context.Context, s *streams, o *publishOptions, client *admin.Client,
	req admin.PublishRequest) error {
	var r publish.Result
	if err := client.Post(ctx, admin.PathPublish, req, &r); err != nil {
		return unknownUnlessNotRun(err, "settle it with: "+programName+" publish --settle "+req.Nonce)
	}
	return s.printResult(o.json, r)
}

// unchanged is the output of publish if nothing differs.
type unchanged struct {
	Unchanged bool  `json:"unchanged"`
	Revision  int64 `json:"revision"`
}

// refList is a flag of object references that may be repeated.
type refList []config.Ref

// String returns the default value, which is empty.
func (l *refList) String() string { return "" }

// Set parses and adds a reference.
func (l *refList) Set(text string) error {
	ref, err := config.ParseRef(text)
	if err != nil {
		return err
	}
	*l = append(*l, ref)
	return nil
}
