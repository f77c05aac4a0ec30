package main

import (
	"context"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/demo/script"
	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

func demoCommand(s *streams) *command {
	var o demoOptions
	return &command{
		name:     "demo",
		group:    groupTool,
		synopsis: "run a small deployment and a scripted day in one process",
		usage: `demo [--json] [--serve]

Starts two entries, the sides, and stand-ins for the platform on loopback, publishes a
configuration, sends requests, and plays a day in under 30 s: a preset change, a runner
that dies, one that slows, a draining side, a log outage and actions that are sent
again. Then prints what became of the requests, counted by the callers and the
stand-ins. Fails if a promise was broken.`,
		flags: o.defineAll,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return runDemo(s, &o)
		},
	}
}

// runDemo runs the demo and prints its report. It returns an error if a guarantee of the system was broken.
func runDemo(s *streams, o *demoOptions) error {
	log := zap.NewNop()
	if o.logLevel != "" {
		log = logger.New(s.err, o.logLevel)
		logger.RouteLibraries(log)
	}
	ctx, _ := stopSignals()
	d, err := script.New(ctx, script.Options{Progress: s.err, Log: log, Seed: o.seed, Pause: demoPause})
	if err != nil {
		return err
	}
	defer d.Close()
	if o.serve {
		return serveDemo(ctx, s, o, d)
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	for _, line := range r.Violations {
		fmt.Fprintln(s.err, line)
	}
	if err := s.print(o.json, r, reportText(r)); err != nil {
		return err
	}
	if r.Counts.HasViolations() {
		return fmt.Errorf("%d promises were broken", len(r.Violations))
	}
	return nil
}

// reportText formats the counts of the demo, one a line.
func reportText(r script.Report) string {
	var b strings.Builder
	for _, row := range []struct {
		name  string
		count int
	}{
		{"requests", r.Requests}, {"whole", r.Whole}, {"late", r.Late},
		{"refused, not run", r.RefusedNotRun}, {"may have run", r.MayHaveRun},
		{"lost", r.Lost}, {"doubled", r.Doubled}, {"misdelivered", r.Misdelivered},
		{"told not run, but ran", r.NotRunButRan}, {"actions run twice", r.ActionsRunTwice},
	} {
		fmt.Fprintf(&b, "%-22s %6d\n", row.name, row.count)
	}
	return b.String()
}

// demoAddresses is the output of "demo --serve".
type demoAddresses struct {
	Entries       []string `json:"entries"`
	Metrics       []string `json:"metrics"`
	OperatorToken string   `json:"operatorToken"`
	CallerToken   string   `json:"callerToken"`
}

// serveDemo prints the addresses and tokens, and keeps the deployment running until ctx ends.
func serveDemo(ctx context.Context, s *streams, o *demoOptions, d *script.Demo) error {
	v := demoAddresses{Entries: d.EntryAddresses(), Metrics: d.MetricsAddresses(), OperatorToken: script.OperatorsToken,
		CallerToken: script.CollectorsToken}
	text := fmt.Sprintf(`entries         %s
metrics         %s
operator token  %s
caller token    %s

  curl -N -H 'Authorization: Bearer %s' http://%s/v1/pipelines/summary \
    -d '{"stream": true, "input": {"question": "What became of the coins?"}}'
  go run ./cmd/ragworthatch preset list --entry %s --token %s
`, strings.Join(v.Entries, " "), strings.Join(v.Metrics, " "), v.OperatorToken, v.CallerToken, v.CallerToken, v.Entries[0], v.Entries[1], v.OperatorToken)
	if err := s.print(o.json, v, text); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
