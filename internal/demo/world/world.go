package world

import (
	"context"
	_ "embed" // for the declarations
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

// Region of all hosts.
const Region = "north"

// Any is the address that lets the system choose a port.
const Any = "127.0.0.1:0"

const (
	hostListLag   = time.Second
	weightsRate   = 1 << 30
	weightsSize   = 8 << 30
	reportLag     = 300 * time.Millisecond
	cacheEventLag = 500 * time.Millisecond
)

// Zones are the availability zones.
func Zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// World is the deployment less its entries.
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

// New starts the stand-ins; the sides follow with StartSides.
func New(log *zap.Logger) (*World, error) {
	w := &World{Log: memlog.New(), Roster: roster.New(hostListLag), Hosts: map[string]*Host{}, zap: log}
	var err error
	if w.LogHTTP, err = httpd.New(Any, httpd.Log(w.Log)); err != nil {
		return nil, err
	}
	if w.ListHTTP, err = httpd.New(Any, httpd.Hosts(w.Roster)); err != nil {
		return nil, err
	}
	weights := store.New(map[string]int64{"atlas": weightsSize}, weightsRate)
	if w.Weights, err = httpd.New(Any, httpd.Weights(weights)); err != nil {
		return nil, err
	}
	for _, zone := range Zones() {
		if err := w.addZone(zone); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// StartSides starts the side beside each upstream. A side that starts before its pool is
// declared waits for the configuration, which takes it some seconds to hear of.
func (w *World) StartSides() {
	for _, h := range w.Hosts {
		w.sides.Go(h.run)
	}
}

// Books are the books of all stand-ins for upstreams.
func (w *World) Books() []*record.Recorder {
	var out []*record.Recorder
	for _, h := range w.Hosts {
		out = append(out, h.Unit.Recorder)
	}
	return out
}

// AddEntry puts an entry on the host list.
func (w *World) AddEntry(name, zone, address string) {
	w.Roster.Put(host.Host{Name: name, Address: address, Zone: zone, Region: Region, State: host.Live})
}

// Close stops the sides at once, then the stand-ins.
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

// Wait returns when all sides have ended, or with ctx.
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

// addZone starts one upstream of each stage pool, two of each other, with their sides.
func (w *World) addZone(zone string) error {
	letter := zone[len(zone)-1:]
	stages := map[string]time.Duration{"encoders": 6 * time.Millisecond, "retrievers": 12 * time.Millisecond, "rerankers": 9 * time.Millisecond}
	for pool, service := range stages {
		m := member.New(stageSlots, service)
		if err := w.add(pool, fmt.Sprintf("%s-%s", pool, letter), zone, m.Upstream, httpd.Upstream(m)); err != nil {
			return err
		}
	}
	for i := range 2 {
		e := engine.New(engine.Config{
			Concurrency: engineSlots, PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 6 * time.Millisecond,
			CachedPrefixes: 64, ChecksFence: true, LoadTime: time.Second,
			State: runner.State{Model: "atlas", Version: "1", Role: "generate"},
		})
		if err := w.add("engines", fmt.Sprintf("engine-%s%d", letter, i+1), zone, e.Upstream, httpd.Engine(e, e)); err != nil {
			return err
		}
		s := plain.New(serviceSlots, 15*time.Millisecond)
		if err := w.add("treasury", fmt.Sprintf("treasury-%s%d", letter, i+1), zone, s.Upstream, httpd.Upstream(s)); err != nil {
			return err
		}
	}
	return nil
}
