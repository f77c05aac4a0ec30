package main

import (
	"context"

	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/boot"
)

func sideCommand(s *streams) *command {
	var o serveOptions
	return &command{
		name:     "side",
		group:    groupServe,
		synopsis: "serve beside one upstream",
		usage: `side --settings FILE

Serves beside one upstream until a signal. The first SIGTERM or SIGINT starts a
graceful shutdown: new calls are refused, those in flight finish, then the process
ends with code 0. A second signal stops at once.`,
		flags: o.define,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if err := o.check(); err != nil {
				return err
			}
			settings, err := setup.LoadSide(o.settings)
			if err != nil {
				return err
			}
			log := logger.New(s.err, settings.LogLevel)
			logger.RouteLibraries(log)
			side, err := boot.New(settings, log)
			if err != nil {
				return err
			}
			return side.Run(stopSignals())
		},
	}
}
