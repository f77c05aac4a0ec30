package world

import (
	"context"
	_ "embed" // for Declarations
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/engine"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/member"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/record"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/fake/store"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// Declarations is the configuration that the demo publishes, as YAML.
//
//go:embed declarations.yaml
var Declarations []byte

// Region is the region of all hosts.
const Region = "north"

// AnyPort is a loopback address with a port that the operating system chooses.
const AnyPort = "127.0.0.1:0"

const (
	hostListLag           = time.Second
	weightsBytesPerSecond = 1 << 30
	weightsBytes          = 8 << 30
	reportLag             = 300 * time.Millisecond
	cacheEventLag         = 500 * time.Millisecond
)

// Zones returns the availability zones.
func Zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// World is a running deployment without its entries.
type World struct {
	Log      *memlog.Log
	LogHTTP  *httpd.Server
	Roster   *roster.List
	ListHTTP *httpd.Server
	Weights  *httpd.Server
	Hosts    map[string]*Host
	zap      *zap.Logger
	sides    sync.WaitGroup
}

// New starts the fake services and upstreams; StartSides starts the sides.
func New(log *zap.Logger) (*World, error) {
	w := &World{Log: memlog.New(), Roster: roster.New(hostListLag), Hosts: map[string]*Host{}, zap: log}
	var err error
	if w.LogHTTP, err = httpd.New(AnyPort, httpd.Log(w.Log)); err != nil {
		return nil, err
	}
	if w.ListHTTP, err = httpd.New(AnyPort, httpd.Hosts(w.Roster)); err != nil {
		return nil, err
	}
	weights := store.New(map[string]int64{"atlas": weightsBytes}, weightsBytesPerSecond)
	if w.Weights, err = httpd.New(AnyPort, httpd.Weights(weights)); err != nil {
		return nil, err
	}
	for _, zone := range Zones() {
		if err := w.addZone(zone); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// StartSides starts the side of each upstream. Publish the configuration first: a side whose pool is not declared yet
// takes some seconds to learn of it.
func (w *World) StartSides() {
	for _, h := range w.Hosts {
		w.sides.Go(h.run)
	}
}

// Books returns the call records of all fake upstreams.
func (w *World) Books() []*record.Recorder {
	var out []*record.Recorder
	for _, h := range w.Hosts {
		out = append(out, h.Unit.Recorder)
	}
	return out
}

// AddEntry adds an entry to the host list.
func (w *World) AddEntry(name, zone, address string) {
	w.Roster.Put(host.Host{Name: name, Address: address, Zone: zone, Region: Region, State: host.Live})
}

// Close stops the sides without a graceful shutdown, then the fake upstreams and services.
func (w *World) Close() {
	for _, h := range w.Hosts {
		h.Kill()
	}
	w.sides.Wait()
	for _, h := range w.Hosts {
		h.HTTP.Down()
	}
	for _, s := range []*httpd.Server{w.LogHTTP, w.ListHTTP, w.Weights} {
		s.Down()
	}
}

// Wait returns when all sides have stopped or ctx is done.
func (w *World) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		w.sides.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// addZone starts a zone's upstreams with their sides: one for each stage pool, and two for each other pool.
func (w *World) addZone(zone string) error {
	letter := zone[len(zone)-1:]
	stages := map[string]time.Duration{"encoders": 6 * time.Millisecond,
		"retrievers": 12 * time.Millisecond, "rerankers": 9 * time.Millisecond}
	for pool, service := range stages {
		fakeMember := member.New(stageSlots, service)
		if err := w.add(pool, fmt.Sprintf("%s-%s", pool, letter), zone,
			fakeMember.Upstream, httpd.Upstream(fakeMember)); err != nil {
			return err
		}
	}
	for i := range 2 {
		fakeEngine := engine.New(engine.Config{
			Concurrency: engineSlots, PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 6 * time.Millisecond,
			CachedPrefixes: 64, ChecksFence: true, LoadTime: time.Second,
			State: runner.State{Model: "atlas", Version: "1", Role: "generate"},
		})
		if err := w.add("engines", fmt.Sprintf("engine-%s%d", letter, i+1), zone,
			fakeEngine.Upstream, httpd.Engine(fakeEngine, fakeEngine)); err != nil {
			return err
		}
		service := plain.New(serviceSlots, 15*time.Millisecond)
		if err := w.add("treasury", fmt.Sprintf("treasury-%s%d", letter, i+1), zone,
			service.Upstream, httpd.Upstream(service)); err != nil {
			return err
		}
	}
	return nil
}
