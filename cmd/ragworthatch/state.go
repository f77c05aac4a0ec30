package main

import (
	"context"
	"fmt"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/decl"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/snap"
)

// fetchConfig fetches the configuration in force from an entry and verifies its digest.
func fetchConfig(ctx context.Context, client *admin.Client) (*fold.State, error) {
	var c admin.Config
	if err := client.Get(ctx, admin.PathConfig, &c); err != nil {
		return nil, err
	}
	state, err := snap.Decode(c.Snapshot)
	if err != nil {
		return nil, fmt.Errorf("the entry's configuration can't be read: %w", err)
	}
	if state.Digest() != c.Digest {
		return nil, fmt.Errorf("the entry's configuration has digest %s and not %s", state.Digest(), c.Digest)
	}
	return state, nil
}

// loadDeclarations loads declarations; its errors have the exit code for files.
func loadDeclarations(files []string) (*decl.Declarations, error) {
	d, err := decl.Load(files...)
	if err != nil {
		return nil, fileError(err)
	}
	return d, nil
}

// capBases limits the base revisions to the newest one that the author saw, so that later changes are conflicts.
func capBases(bases map[config.Ref]int64, newestSeen int64) {
	for ref, revision := range bases {
		bases[ref] = min(revision, newestSeen)
	}
}
