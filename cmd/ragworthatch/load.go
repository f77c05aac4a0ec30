package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/oper/caller"
	"github.com/ragworthatch/ragworthatch/internal/oper/load"
)

// loadOptions are the options of load.
type loadOptions struct {
	operatorOptions
	rate     float64
	duration time.Duration
	mix      string
	seed     uint64
	stream   bool
}

func (o *loadOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	f.Float64Var(&o.rate, "rate", 10, "requests a second, as a `number`")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "how long to send, as in 30s")
	f.StringVar(&o.mix, "mix", "", "`pipelines` as NAME=WEIGHT[@DEADLINE][!] with commas between; ! sends a new key with each request")
	f.Uint64Var(&o.seed, "seed", 1, "`number` that times and pipelines are drawn from")
	f.BoolVar(&o.stream, "stream", false, "ask for streamed answers")
}

func (o *loadOptions) checkAll() (load.Options, error) {
	if o.mix == "" {
		return load.Options{}, usagef("a mix is needed: --mix")
	}
	mix, err := load.ParseMix(o.mix)
	if err != nil {
		return load.Options{}, usagef("--mix: %w", err)
	}
	entries := strings.Split(o.entry, ",")
	for _, e := range entries {
		if err := checkAddress("entry", e); err != nil {
			return load.Options{}, err
		}
	}
	o.entry = entries[0]
	if err := o.check(); err != nil {
		return load.Options{}, err
	}
	return load.Options{
		Entries: entries, Token: o.token, Rate: o.rate, Duration: o.duration, Mix: mix, Seed: o.seed, Stream: o.stream,
	}, nil
}

func loadCommand(s *streams) *command {
	var o loadOptions
	return &command{
		name:     "load",
		group:    groupTool,
		synopsis: "send requests at a fixed rate and report attainment",
		usage: `load --entry ADDRESS[,ADDRESS...] --mix NAME=WEIGHT[@DEADLINE][!],...

Sends requests as a team does, at random times of a fixed rate, whether or not earlier
ones are answered. Prints attainment, latencies counted from the time each request was
due, and failures by code. --token is the team's.`,
		flags: o.defineAll,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			options, err := o.checkAll()
			if err != nil {
				return err
			}
			l, err := load.New(options, caller.New("load"))
			if err != nil {
				return usagef("%w", err)
			}
			ctx, _ := stopSignals()
			report := l.Run(ctx)
			return s.print(o.json, report, report.String())
		},
	}
}
