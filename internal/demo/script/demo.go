package script

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/demo/tally"
	"github.com/ragworthatch/ragworthatch/internal/demo/world"
	"github.com/ragworthatch/ragworthatch/internal/entry/boot"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

// Tokens of the demo's teams; world.Declarations holds their digests.
const (
	CollectorsToken = "demo-collectors"
	StockistsToken  = "demo-stockists"
	OperatorsToken  = "demo-operators"
)

const readyTimeout = 25 * time.Second

// Options configure a demo.
type Options struct {
	// Progress receives a line for each event; nil for none.
	Progress io.Writer
	Log      *zap.Logger
	Seed     uint64
	// Pause is the time between two events.
	Pause time.Duration
}

// Demo is a running demo.
type Demo struct {
	opts    Options
	world   *world.World
	entries []*entry
	tally   *tally.Tally
	caller  *caller.Caller
	started time.Time
}

// entry is one running entry.
type entry struct {
	name   string
	node   *boot.Entry
	stop   context.CancelFunc
	kill   context.CancelFunc
	exited chan struct{}
}

// New starts the fake services, the upstreams with their sides and two entries, publishes the configuration and waits
// until the entries answer. Close stops what it has started.
func New(ctx context.Context, o Options) (*Demo, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	w, err := world.New(o.Log)
	if err != nil {
		return nil, err
	}
	d := &Demo{opts: o, world: w, tally: &tally.Tally{}, caller: caller.New("demo"), started: time.Now()}
	if err := d.startAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) startAll(ctx context.Context) error {
	for i, zone := range world.Zones()[:2] {
		if err := d.addEntry(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.world.StartSides()
	d.progressf("started 2 entries and %d upstreams, each with its side", len(d.world.Hosts))
	return d.waitReady(ctx)
}

// Close stops the entries and the deployment without a graceful shutdown.
func (d *Demo) Close() {
	for _, e := range d.entries {
		e.kill()
		<-e.exited
	}
	d.world.Close()
}

func (d *Demo) addEntry(name, zone string) error {
	digest := sha256.Sum256([]byte(OperatorsToken))
	node, err := boot.New(setup.Entry{
		Common: setup.Common{
			Role: setup.EntryRole, Name: name, Region: world.Region, Zone: zone, Zones: world.Zones(),
			GRPC: world.AnyPort, Metrics: world.AnyPort,
			Log: d.world.LogHTTP.Address(), HostList: d.world.ListHTTP.Address(),
		},
		HTTP:                world.AnyPort,
		OperatorTokenDigest: hex.EncodeToString(digest[:]),
		WeightStore:         d.world.Weights.Address(),
	}, d.opts.Log)
	if err != nil {
		return err
	}
	d.world.AddEntry(name, zone, node.PeerAddress())
	stopCtx, cancelStop := context.WithCancel(context.Background())
	killCtx, cancelKill := context.WithCancel(context.Background())
	e := &entry{name: name, node: node, stop: cancelStop, kill: cancelKill, exited: make(chan struct{})}
	d.entries = append(d.entries, e)
	go func() {
		defer close(e.exited)
		if err := node.Run(stopCtx, killCtx); err != nil {
			d.opts.Log.Error("entry ended", zap.String("entry", name), zap.Error(err))
		}
	}()
	return nil
}

// EntryAddresses returns the HTTP addresses of the entries.
func (d *Demo) EntryAddresses() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, e.node.Address())
	}
	return out
}

// MetricsAddresses returns the addresses of the entries' Prometheus endpoints.
func (d *Demo) MetricsAddresses() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, e.node.MetricsAddress())
	}
	return out
}

// adminClient returns a client of the admin interface of entry i.
func (d *Demo) adminClient(i int) *admin.Client {
	return admin.New(d.entries[i].node.Address(), OperatorsToken)
}

// progressf writes a line with the time since the start to Progress.
func (d *Demo) progressf(format string, args ...any) {
	fmt.Fprintf(d.opts.Progress, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}
