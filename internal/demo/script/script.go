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
	runnerDown  = 3 * time.Second
	outage      = 2500 * time.Millisecond
	slowness    = 8
	resendCount = 5
)

// Report is what a day came to.
type Report struct {
	tally.Counts
	// Broken describes each broken promise.
	Broken []string `json:"-"`
}

// Run plays the day: traffic all the time, and one event after the other.
func (d *Day) Run(ctx context.Context) (Report, error) {
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { d.traffic(trafficCtx) })
	err := d.script(ctx)
	stop()
	d.say("traffic ends; waiting for the last answers")
	background.Wait()
	counts, broken := d.tally.Count(d.world.Books())
	d.say("%d requests: %d whole, %d of them late; %d refused as not run, %d may have run",
		counts.Requests, counts.Whole, counts.Late, counts.RefusedNotRun, counts.MayHaveRun)
	return Report{Counts: counts, Broken: broken}, err
}

func (d *Day) script(ctx context.Context) error {
	events := []func(context.Context) error{
		func(ctx context.Context) error { return d.usePreset(ctx, "peak") },
		d.runnerDies,
		d.runnerSlows,
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
		case <-time.After(d.o.Pause):
		}
	}
	return nil
}

func (d *Day) runnerDies(context.Context) error {
	h := d.world.Hosts["engine-a1"]
	h.Unit.Proc.Crash(runnerDown)
	d.say("%s died with all it was generating, and will be back in %s", h.Name, runnerDown)
	return nil
}

func (d *Day) runnerSlows(context.Context) error {
	h := d.world.Hosts["engine-b1"]
	f := world.Healthy()
	f.SlowFactor = slowness
	h.Unit.Faults.Set(f)
	d.say("%s became %d times slower", h.Name, slowness)
	return nil
}

func (d *Day) drainSide(ctx context.Context) error {
	var r admin.DrainReply
	req := admin.DrainRequest{Host: "treasury-a1", Author: author, Reason: "maintenance"}
	if err := d.operator(0).Post(ctx, admin.PathDrain, req, &r); err != nil {
		return err
	}
	d.say("%s drains with %d calls in flight", r.Host, r.InFlight)
	return nil
}

func (d *Day) logOutage(ctx context.Context) error {
	d.world.Log.SetDown(true)
	d.say("the log service is down")
	select {
	case <-ctx.Done():
	case <-time.After(outage):
	}
	d.world.Log.SetDown(false)
	d.say("the log service is back")
	return nil
}

// resendActions sends transfers whose first answer breaks off after the work is done, each again under its key.
func (d *Day) resendActions(ctx context.Context) error {
	d.LoseAnswers()
	var resends sync.WaitGroup
	for i := range resendCount {
		r := request("resent-"+string(rune('a'+i)), "transfer", StockistsToken)
		resends.Go(func() {
			d.send(ctx, i, r)
			d.send(ctx, i+1, r)
		})
	}
	resends.Wait()
	d.say("%d transfers were sent twice, some after a lost answer", resendCount)
	return nil
}

// LoseAnswers makes each plain service break the connection once after it has done the work.
func (d *Day) LoseAnswers() {
	for _, h := range d.world.Hosts {
		if h.Pool == "treasury" {
			f := world.Healthy()
			f.LostAnswers = 1
			h.Unit.Faults.Set(f)
		}
	}
}
