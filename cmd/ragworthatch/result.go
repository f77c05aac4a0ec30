package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

// resultText formats the result of a publish for display.
func resultText(r publish.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", r.State)
	if r.State == publish.Accepted {
		fmt.Fprintf(&b, "  revision  %d\n  offset    %d\n  digest    %s\n", r.Revision, r.Offset, r.Digest)
	}
	if r.Nonce != "" {
		fmt.Fprintf(&b, "  nonce     %s\n", r.Nonce)
	}
	if r.Message != "" && len(r.Problems) == 0 {
		fmt.Fprintf(&b, "  %s\n", r.Message)
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "  %s\n", p)
	}
	if r.Conflict != nil {
		fmt.Fprintf(&b, "  %s\n", strings.ReplaceAll(r.Conflict.String(), "\n", "\n  "))
	}
	if r.Replaced != nil {
		fmt.Fprintf(&b, "  replaces  %s, chosen by %s at %s\n",
			r.Replaced.Name, r.Replaced.Author, r.Replaced.Since.Format(time.RFC3339))
	}
	if r.Settle != "" {
		fmt.Fprintf(&b, "  settle it with: %s\n", r.Settle)
	}
	return b.String()
}
