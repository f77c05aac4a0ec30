package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionInfo identifies the build of the program.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

func versionCommand(s *streams) *command {
	var o jsonOption
	return &command{
		name:     "version",
		group:    groupTool,
		synopsis: "print the version of the program",
		usage: `version [--json]

Prints the version, the revision that it was built from, and the Go release.`,
		flags: o.define,
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			v := readVersion()
			text := fmt.Sprintf("%s %s (%s, %s)\n", programName, v.Version, v.Revision, v.Go)
			return s.print(o.json, v, text)
		},
	}
}

// readVersion returns the build's data from the binary; what it lacks is "unknown".
func readVersion() versionInfo {
	v := versionInfo{Version: "unknown", Revision: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			v.Revision = setting.Value
		case "vcs.modified":
			v.Modified = setting.Value == "true"
		}
	}
	return v
}
