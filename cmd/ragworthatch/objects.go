package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
)

// loadObjects reads the declarations of all files.
func loadObjects(files []string) (config.Objects, error) {
	var all config.Objects
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return all, fileError(err)
		}
		var o config.Objects
		if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&o); err != nil {
			return all, fileError(fmt.Errorf("%s: %w", file, err))
		}
		all.Pools = append(all.Pools, o.Pools...)
		all.Stages = append(all.Stages, o.Stages...)
		all.Pipelines = append(all.Pipelines, o.Pipelines...)
		all.Presets = append(all.Presets, o.Presets...)
		all.Teams = append(all.Teams, o.Teams...)
	}
	return all, nil
}
