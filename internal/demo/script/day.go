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

// Tokens of the demo's teams; their digests are in the declarations.
const (
	CollectorsToken = "demo-collectors"
	StockistsToken  = "demo-stockists"
	OperatorsToken  = "demo-operators"
)

const readyTimeout = 25 * time.Second

// Options set how the demo runs.
type Options struct {
	// Progress gets a line for each thing that happens; nil for none.
	Progress io.Writer
	Log      *zap.Logger
	Seed     uint64
	// Pause between two events of the day.
	Pause time.Duration
}

// Day is one run of the demo.
type Day struct {
	o       Options
	world   *world.World
	entries []*entry
	tally   *tally.Tally
	caller  *caller.Caller
	start   time.Time
}

// entry is one entry process.
type entry struct {
	name string
	node *boot.Entry
	stop context.CancelFunc
	kill context.CancelFunc
	done chan struct{}
}

// New starts the stand-ins, the sides and two entries, and publishes the configuration.
func New(ctx context.Context, o Options) (*Day, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	w, err := world.New(o.Log)
	if err != nil {
		return nil, err
	}
	d := &Day{o: o, world: w, tally: &tally.Tally{}, caller: caller.New("demo"), start: time.Now()}
	if err := d.open(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Day) open(ctx context.Context) error {
	for i, zone := range world.Zones()[:2] {
		if err := d.addEntry(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	d.world.StartSides()
	d.say("started 2 entries and %d upstreams, each with its side", len(d.world.Hosts))
	return d.untilReady(ctx)
}

// Close stops everything at once.
func (d *Day) Close() {
	for _, e := range d.entries {
		e.kill()
		<-e.done
	}
	d.world.Close()
}

func (d *Day) addEntry(name, zone string) error {
	sum := sha256.Sum256([]byte(OperatorsToken))
	n, err := boot.New(setup.Entry{
		Common: setup.Common{
			Role: setup.EntryRole, Name: name, Region: world.Region, Zone: zone, Zones: world.Zones(),
			GRPC: world.Any, Metrics: world.Any, Log: d.world.LogHTTP.Address(), HostList: d.world.ListHTTP.Address(),
		},
		HTTP:                world.Any,
		OperatorTokenDigest: hex.EncodeToString(sum[:]),
		WeightStore:         d.world.Weights.Address(),
	}, d.o.Log)
	if err != nil {
		return err
	}
	d.world.AddEntry(name, zone, n.PeerAddress())
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	e := &entry{name: name, node: n, stop: stopNow, kill: killNow, done: make(chan struct{})}
	d.entries = append(d.entries, e)
	go func() {
		defer close(e.done)
		if err := n.Run(stop, kill); err != nil {
			d.o.Log.Error("entry ended", zap.String("entry", name), zap.Error(err))
		}
	}()
	return nil
}

// Entries are the HTTP addresses of the entries.
func (d *Day) Entries() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, e.node.Address())
	}
	return out
}

// Metrics are the addresses of the entries' Prometheus endpoints.
func (d *Day) Metrics() []string {
	var out []string
	for _, e := range d.entries {
		out = append(out, e.node.MetricsAddress())
	}
	return out
}

// operator is a client of an entry's operators' interface.
func (d *Day) operator(i int) *admin.Client {
	return admin.New(d.entries[i].node.Address(), OperatorsToken)
}

func (d *Day) say(format string, args ...any) {
	fmt.Fprintf(d.o.Progress, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}
