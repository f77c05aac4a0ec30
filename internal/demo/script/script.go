package script

import (
	"context"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/demo/tally"
	"github.com/ragworthatch/ragworthatch/internal/demo/world"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
)

const (
	runnerDowntime    = 3 * time.Second
	logOutageDuration = 2500 * time.Millisecond
	slowdownFactor    = 8
	resendCount       = 5
)

// Report is the result of a demo.
type Report struct {
	tally.Counts
	// Violations describes each violated guarantee.
	Violations []string `json:"-"`
}

// Run sends traffic, injects one event after the other, and counts the outcomes once all requests have ended.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { d.sendTraffic(trafficCtx) })
	err := d.playEvents(ctx)
	stop()
	d.progressf("traffic ends; waiting for the last answers")
	background.Wait()
	counts, violations := d.tally.Count(d.world.Books())
	d.progressf("%d requests: %d whole, %d of them late; %d refused as not run, %d may have run",
		counts.Requests, counts.Whole, counts.Late, counts.RefusedNotRun, counts.MayHaveRun)
	return Report{Counts: counts, Violations: violations}, err
}

func (d *Demo) playEvents(ctx context.Context) error {
	events := []func(context.Context) error{
		func(ctx context.Context) error { return d.usePreset(ctx, "peak") },
		d.crashRunner,
		d.slowRunner,
		d.drainSide,
		d.logOutage,
		d.resendActions,
		func(ctx context.Context) error { return d.usePreset(ctx, "ordinary") },
	}
	for _, event := range events {
		if err := event(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d.opts.Pause):
		}
	}
	return nil
}

func (d *Demo) crashRunner(context.Context) error {
	h := d.world.Hosts["engine-a1"]
	h.Unit.Proc.Crash(runnerDowntime)
	d.progressf("%s died with all it was generating, and will be back in %s", h.Name, runnerDowntime)
	return nil
}

func (d *Demo) slowRunner(context.Context) error {
	h := d.world.Hosts["engine-b1"]
	f := world.Healthy()
	f.SlowFactor = slowdownFactor
	h.Unit.Faults.Set(f)
	d.progressf("%s became %d times slower", h.Name, slowdownFactor)
	return nil
}

func (d *Demo) drainSide(ctx context.Context) error {
	var r admin.DrainReply
	req := admin.DrainRequest{Host: "treasury-a1", Author: author, Reason: "maintenance"}
	if err := d.adminClient(0).Post(ctx, admin.PathDrain, req, &r); err != nil {
		return err
	}
	d.progressf("%s drains with %d calls in flight", r.Host, r.InFlight)
	return nil
}

func (d *Demo) logOutage(ctx context.Context) error {
	d.world.Log.SetDown(true)
	d.progressf("the log service is down")
	select {
	case <-ctx.Done():
	case <-time.After(logOutageDuration):
	}
	d.world.Log.SetDown(false)
	d.progressf("the log service is back")
	return nil
}

// resendActions sends transfers, some of whose answers are lost after the work is done, and sends each again under the
// same idempotency key.
func (d *Demo) resendActions(ctx context.Context) error {
	d.LoseAnswers()
	var resends sync.WaitGroup
	for i := range resendCount {
		r := newRequest("resent-"+string(rune('a'+i)), "transfer", StockistsToken)
		resends.Go(func() {
			d.send(ctx, i, r)
			d.send(ctx, i+1, r)
		})
	}
	resends.Wait()
	d.progressf("%d transfers were sent twice, some after a lost answer", resendCount)
	return nil
}

// LoseAnswers makes each plain service do the work of its next call and then break the connection instead of answering.
func (d *Demo) LoseAnswers() {
	for _, h := range d.world.Hosts {
		if h.Pool == "treasury" {
			f := world.Healthy()
			f.LostAnswers = 1
			h.Unit.Faults.Set(f)
		}
	}
}
