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

// inForce asks an entry for its configuration.
func inForce(ctx context.Context, client *admin.Client) (*fold.State, error) {
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

// declarations reads declarations; a fault in a file has its exit code.
func declarations(files []string) (*decl.Declarations, error) {
	d, err := decl.Load(files...)
	if err != nil {
		return nil, fileError(err)
	}
	return d, nil
}

// limitBases lowers the bases over a revision, so that whatever came after it is a conflict.
func limitBases(bases map[config.Ref]int64, newestSeen int64) {
	for ref, revision := range bases {
		bases[ref] = min(revision, newestSeen)
	}
}
