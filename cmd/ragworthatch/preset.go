package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

func presetCommand(s *streams) *command {
	var o presetOptions
	return &command{
		name:     "preset",
		group:    groupOperate,
		synopsis: "list the presets, or put one in force",
		usage: `preset list | preset use NAME

"list" prints the declared presets and marks the one in force. "use" puts a preset in
force and prints "accepted" only once the entry has read its record back from the log.
Of two operators at one moment exactly one wins, and the other is told who came first.`,
		flags: o.defineAll,
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := withTimeout(ctx)
			defer cancel()
			switch {
			case len(args) == 1 && args[0] == "list":
				return listPresets(ctx, s, &o)
			case len(args) == 2 && args[0] == "use":
				return usePreset(ctx, s, &o, args[1])
			default:
				return usagef("wants \"list\" or \"use NAME\"")
			}
		},
	}
}

// listPresets prints the declared presets.
func listPresets(ctx context.Context, s *streams, o *presetOptions) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	state, err := fetchConfig(ctx, client)
	if err != nil {
		return err
	}
	since := state.PresetInForce()
	names := presetNames{InForce: since.Name, Author: since.Author, Revision: since.Revision}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(state.Config().Presets)) {
		names.Presets = append(names.Presets, name)
		if name == since.Name {
			at := time.UnixMilli(since.TimeMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(&text, "* %s  in force since %s, by %s\n", name, at, since.Author)
			continue
		}
		fmt.Fprintf(&text, "  %s\n", name)
	}
	return s.print(o.json, names, text.String())
}

// presetNames is the output of "preset list".
type presetNames struct {
	InForce  string   `json:"inForce"`
	Presets  []string `json:"presets"`
	Author   string   `json:"author"`
	Revision int64    `json:"revision"` // revision at which the preset was put in force
}

// usePreset puts a preset in force.
func usePreset(ctx context.Context, s *streams, o *presetOptions, name string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	if err := o.authorOptions.check(false); err != nil {
		return err
	}
	req := admin.PresetRequest{Author: o.author, Name: name}
	if o.base != baseUnset {
		req.Base = &o.base
	}
	var r publish.Result
	if err := client.Post(ctx, admin.PathPreset, req, &r); err != nil {
		return unknownUnlessNotRun(err, "see which preset is in force with: "+programName+" preset list")
	}
	return s.printResult(o.json, r)
}
