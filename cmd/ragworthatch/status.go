package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

func statusCommand(s *streams) *command {
	var o operatorOptions
	return &command{
		name:     "status",
		group:    groupOperate,
		synopsis: "show what one entry sees now",
		usage: `status

Prints whether an entry is ready, which configuration and preset it runs under, and its
view of each upstream: state, reason, load and limit.`,
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
			var st admin.Status
			if err := client.Get(ctx, admin.PathStatus, &st); err != nil {
				return err
			}
			return s.print(o.json, st, statusText(st))
		},
	}
}

// statusText formats the status of an entry for display.
func statusText(st admin.Status) string {
	var b strings.Builder
	state := "ready"
	switch {
	case st.Draining:
		state = "draining"
	case !st.Ready:
		state = "not ready: " + st.NotReady
	}
	fmt.Fprintf(&b, "entry     %s in %s, %s, %d requests in flight\n", st.Entry, st.Zone, state, st.InFlight)
	fmt.Fprintf(&b, "preset    %s\n", orNone(st.Preset))
	fmt.Fprintf(&b, "revision  %d at offset %d, digest %s\n", st.Revision, st.Offset, st.Digest)
	if st.LogAgeMs >= 0 {
		fmt.Fprintf(&b, "log       last read %s ago\n", time.Duration(st.LogAgeMs)*time.Millisecond)
	}
	if st.Marks > 0 {
		fmt.Fprintf(&b, "marks     %d fingerprints, see quarantine list\n", st.Marks)
	}
	for _, p := range st.Pools {
		fmt.Fprintf(&b, "\n%s\n", p.Pool)
		for _, u := range p.Upstreams {
			fmt.Fprintf(&b, "  %-16s %-10s %-8s %-18s %3d running %3d queued, limit %d\n",
				u.Name, u.Zone, u.State, u.Reason, u.Running, u.Queued, u.Limit)
		}
	}
	return b.String()
}

// orNone replaces an empty text.
func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
