package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/ops/where"
)

// whereOptions are the options of where.
type whereOptions struct {
	jsonOption
	entry string
	most  int
}

func whereCommand(s *streams) *command {
	var o whereOptions
	return &command{
		name:     "where",
		group:    groupOperate,
		synopsis: "say where a request would go now, without sending it",
		usage: `where --entry IP:PORT [--json] FILE

Asks an entry on the operators' platform, and the leader that it follows, what they would do now
with the HTTP/1.1 request in a file: route, rank, stages and candidates with their cost, or the
refusal. Nothing is sent to upstreams. PORT is that of the metrics, the same on all hosts.`,
		flags: func(f *flag.FlagSet) {
			o.define(f)
			f.StringVar(&o.entry, "entry", os.Getenv(envEntry), "`address` of an entry's metrics, as IP:port; "+envEntry+" stands in")
			f.IntVar(&o.most, "most", 5, "`number` of upstreams to list of each pool, in text")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("one file with a request is needed")
			}
			if err := checkAddress("entry", o.entry); err != nil {
				return err
			}
			request, err := os.ReadFile(args[0])
			if err != nil {
				return fileError(err)
			}
			answers, err := where.Ask(ctx, o.entry, request)
			if err != nil {
				return err
			}
			var texts []string
			for _, a := range answers {
				texts = append(texts, a.Text(max(0, o.most)))
			}
			return s.print(o.json, answers, strings.Join(texts, ""))
		},
	}
}
