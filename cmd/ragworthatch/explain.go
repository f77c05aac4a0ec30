package main

import (
	"context"
	"io"
	"os"

	"github.com/ragworthatch/ragworthatch/internal/ops/trace"
)

func explainRequestCommand(s *streams) *command {
	var o jsonOption
	return &command{
		name:     "explain",
		group:    groupOperate,
		synopsis: "say what became of a request, from logs",
		usage: `explain [--json] REQUEST LOG...

Prints all lines of the given logs that name a request, in order of time and over several
hosts, what processes came to believe around that time, and what decided its fate.`,
		flags: o.define,
		run: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return usagef("a request's ID and at least one log are needed")
			}
			logs := map[string]io.Reader{}
			for _, name := range args[1:] {
				file, err := os.Open(name)
				if err != nil {
					return fileError(err)
				}
				defer file.Close()
				logs[name] = file
			}
			found, err := trace.Read(args[0], logs)
			if err != nil {
				return fileError(err)
			}
			return s.print(o.json, found, found.Text())
		},
	}
}
