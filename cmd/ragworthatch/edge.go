package main

import (
	"context"
	"os"

	"github.com/ragworthatch/ragworthatch/internal/edge/node"
	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
	"github.com/ragworthatch/ragworthatch/platform"
)

func edgeCommand(s *streams) *command {
	var o edgeOptions
	return &command{
		name:     edgeName,
		group:    groupServe,
		synopsis: "serve callers on the operators' platform",
		usage: `edge [--settings FILE]

Serves callers on a host of the operators' platform, which provides the settings, the
configuration and the list of upstreams; no sides run there. The first SIGTERM or SIGINT
starts a graceful shutdown, a second one stops at once.`,
		flags: o.define,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			log := logger.NewAsync(s.out, o.logLevel)
			defer log.Close()
			logger.RouteLibraries(log.Logger)
			entry, err := node.New(o.path(), o.metricsPort, log.Logger)
			if err != nil {
				return fileError(err)
			}
			return entry.Run(stopSignals())
		},
	}
}

// path returns the path of the settings: the flag, the environment variable or the default, in this order.
func (o *edgeOptions) path() string {
	switch {
	case o.settings != "":
		return o.settings
	case os.Getenv(platform.SettingsVariable) != "":
		return os.Getenv(platform.SettingsVariable)
	}
	return platform.DefaultSettingsPath
}
