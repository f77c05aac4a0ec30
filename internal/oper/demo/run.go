package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/oper/admin"
	"github.com/ragworthatch/ragworthatch/internal/state/accept"
)

const startTimeout = 10 * time.Second

// Run plays a few requests and prints what happened.
func Run(ctx context.Context, out io.Writer, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := Build(ctx, log)
	if err != nil {
		return err
	}
	if err := w.publish(ctx, out); err != nil {
		return err
	}
	if err := w.waitReady(ctx); err != nil {
		return err
	}
	entry := w.entries[0].Address()
	for i, pipeline := range []string{"summary", "lookup", "transfer", "summary"} {
		q := question{RequestID: fmt.Sprintf("r%d", i), Input: map[string]any{"marker": fmt.Sprintf("m%d", i)}}
		if pipeline == "transfer" {
			q.Key = uuid.Must(uuid.NewV7()).String()
		}
		start := time.Now()
		r, err := ask(ctx, entry, pipeline, q)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-9s status %d whole %t count %d %s %s %s\n", pipeline, r.Status, r.Whole, r.Count,
			r.Error.Code, r.Error.Message, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// publish sends the configuration and chooses the first preset.
func (w *World) publish(ctx context.Context, out io.Writer) error {
	client := admin.New(w.entries[0].Address(), opsToken)
	var res accept.Result
	if err := retry(ctx, func() error {
		return client.Post(ctx, admin.PathPublish, admin.PublishRequest{Author: "ana", Change: config.Change{Set: declared()}}, &res)
	}); err != nil {
		return err
	}
	fmt.Fprintf(out, "published  %s revision %d digest %s %s\n", res.State, res.Revision, res.Digest, res.Message)
	if err := client.Post(ctx, admin.PathPreset, admin.PresetRequest{Author: "ana", Name: "ordinary"}, &res); err != nil {
		return err
	}
	fmt.Fprintf(out, "preset     ordinary %s revision %d %s\n", res.State, res.Revision, res.Message)
	return nil
}

// waitReady waits until a request of each pipeline comes back whole.
func (w *World) waitReady(ctx context.Context) error {
	return retry(ctx, func() error {
		for _, e := range w.entries {
			r, err := ask(ctx, e.Address(), "summary", question{RequestID: "warm", Input: map[string]any{}})
			if err != nil {
				return err
			}
			if !r.Whole {
				return fmt.Errorf("entry %s: %s", e.Address(), r.Error.Message)
			}
		}
		return nil
	})
}

// retry calls f until it succeeds, for the time that a start may take.
func retry(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}
