package script

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/demo/world"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/ops/strict"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

const author = "demo"

// publish publishes the declarations through the first entry and activates the ordinary preset.
func (d *Demo) publish(ctx context.Context) error {
	var objects config.Objects
	if err := strict.New(world.Declarations).Decode(&objects); err != nil {
		return err
	}
	var r publish.Result
	req := admin.PublishRequest{Author: author, Change: config.Change{Set: objects}}
	if err := d.retry(ctx, func() error { return d.adminClient(0).Post(ctx, admin.PathPublish, req, &r) }); err != nil {
		return err
	}
	if r.State != publish.Accepted {
		return &publish.Error{Result: r}
	}
	d.progressf("published %d objects: accepted as revision %d", len(objects.Refs()), r.Revision)
	return d.usePreset(ctx, "ordinary")
}

// usePreset activates a preset through the second entry.
func (d *Demo) usePreset(ctx context.Context, name string) error {
	var r publish.Result
	req := admin.PresetRequest{Author: author, Name: name}
	if err := d.adminClient(1).Post(ctx, admin.PathPreset, req, &r); err != nil {
		return err
	}
	if r.State != publish.Accepted {
		return &publish.Error{Result: r}
	}
	d.progressf("preset %q is in force: accepted as revision %d", name, r.Revision)
	return nil
}

// waitReady waits until both entries answer requests for the lookup and summary pipelines.
func (d *Demo) waitReady(ctx context.Context) error {
	for i, address := range d.EntryAddresses() {
		for _, pipeline := range []string{"lookup", "summary"} {
			err := d.retry(ctx, func() error {
				a := d.caller.Call(ctx, address, caller.Request{
					ID: "ready", Pipeline: pipeline, Token: CollectorsToken, Input: json.RawMessage(`{"marker":"ready"}`),
				})
				if a.Whole {
					return nil
				}
				return fmt.Errorf("%s at entry %d: %s %s %v", pipeline, i+1, a.Code, a.Message, a.Err)
			})
			if err != nil {
				return err
			}
		}
	}
	d.progressf("both entries answer")
	return nil
}

// retry calls f until it succeeds or readyTimeout has passed.
func (d *Demo) retry(ctx context.Context, f func() error) error {
	const pause = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready after %s: %w", readyTimeout, err)
		case <-time.After(pause):
		}
	}
}
