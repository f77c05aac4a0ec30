package main

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/entry/boot"
	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

func entryCommand(s *streams) *command {
	var o serveOptions
	return &command{
		name:     "entry",
		group:    groupServe,
		synopsis: "serve callers and operators",
		usage: `entry --settings FILE

Serves callers and operators until a signal. The first SIGTERM or SIGINT starts a
graceful shutdown: the entry says that it is not ready, refuses new requests, finishes
those in flight, then the process ends with code 0. A second signal stops at once.`,
		flags: o.define,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if err := o.check(); err != nil {
				return err
			}
			settings, err := setup.LoadEntry(o.settings)
			if err != nil {
				return err
			}
			log := logger.New(s.err, settings.LogLevel)
			logger.RouteLibraries(log)
			entry, err := boot.New(settings, log)
			if err != nil {
				return err
			}
			return entry.Run(stopSignals())
		},
	}
}
