package main

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// localCost is the cost of operations within one process.
type localCost struct {
	teamBytes     float64 // heap a team
	hostBytes     float64 // heap a host, in the membership table and its view
	markBytes     float64 // heap a fingerprint
	statusSize    int     // bytes of a side's status message
	hostListSize  int     // bytes a host in the JSON of the host list
	statusMicros  float64 // time to apply a status with targetHosts hosts
	viewMicros    float64 // time to build the view with targetHosts hosts
	planMillis    float64 // time to plan targetSides runners
	planSize      int     // bytes of a plan record for targetSides runners
	snapshotBytes int     // bytes of a snapshot with targetTeams teams
}

// measureLocal measures all fields of localCost.
func measureLocal() (localCost, error) {
	var c localCost
	var err error
	if c.teamBytes, c.snapshotBytes, err = measureTeams(); err != nil {
		return c, err
	}
	c.measureHosts()
	c.measureMarks()
	c.measurePlan()
	c.statusSize = proto.Size(sampleStatus("engine-0123"))
	return c, nil
}

// retained keeps the measured value reachable, so that it is not collected.
var retained any

// heapGrowth returns the growth of the heap by the result of f, in bytes.
func heapGrowth(f func() any) float64 {
	retained = nil
	before := heapInUse()
	retained = f()
	after := heapInUse()
	runtime.KeepAlive(retained)
	return float64(after) - float64(before)
}

// measureTeams publishes half and all of targetTeams teams and returns the heap a team, from the difference, and the
// size of the snapshot.
func measureTeams() (bytesPerTeam float64, snapshot int, err error) {
	at := func(n int) float64 {
		return heapGrowth(func() any {
			log := memlog.New()
			f := feed.New(log, feed.Options{Author: "slopes"}, zap.NewNop())
			p := publish.New(log, f, uuid.New, zap.NewNop())
			const batch = 100
			for i := 0; i < n && err == nil; i += batch {
				_, err = p.Publish(context.Background(), "slopes", sampleTeams(i, batch))
			}
			var data []byte
			if err == nil {
				data, _, err = f.Snapshot()
			}
			snapshot = len(data)
			return f.Current()
		})
	}
	half, all := at(targetTeams/2), at(targetTeams)
	return (all - half) / (targetTeams / 2), snapshot, err
}

// sampleTeams returns a change that adds n teams, numbered from the given one.
func sampleTeams(from, n int) config.Change {
	var c config.Change
	for i := range n {
		c.Set.Teams = append(c.Set.Teams, team.Spec{
			Name:        fmt.Sprintf("team-%04d", from+i),
			TokenDigest: fmt.Sprintf("%064x", from+i),
			Share:       0.0001,
		})
	}
	return c
}

// sampleHosts returns n upstreams, spread over the zones and targetPools pools.
func sampleHosts(n int) []host.Host {
	var out []host.Host
	for i := range n {
		out = append(out, host.Host{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:7000", i/65536, i/256%256, i%256),
			Zone: zone(i), Region: "region-1", Pool: fmt.Sprint("pool-", i%targetPools), State: host.Live,
		})
	}
	return out
}

// sampleStatus returns the status of an engine with two loaded model names.
func sampleStatus(name string) *sidepb.Status {
	return &sidepb.Status{
		Upstream: name, Pool: "pool-1", Zone: "zone-a", State: "live",
		Incarnation: uuid.NewString(),
		Load: &sidepb.Load{
			Running: 12, Queued: 3, Limit: 16, LatencyMs: 812.5, AgeMs: 950, Revision: 12345, Incarnation: uuid.NewString(),
		},
		Offset: 23456, Models: []string{"model-large", "model-large@2026-11"}, UpstreamHealthy: true,
	}
}

// measureHosts measures the membership table: heap and list size a host, and the time to apply a status and to build a
// view.
func (c *localCost) measureHosts() {
	now := time.Now()
	table := func(n int) float64 {
		return heapGrowth(func() any {
			t := member.New(member.Options{}).WithList(now, sampleHosts(n))
			v := t.View(now)
			return []any{t, v}
		})
	}
	c.hostBytes = (table(targetHosts) - table(targetHosts/2)) / (targetHosts / 2)
	t := member.New(member.Options{}).WithList(now, sampleHosts(targetHosts))
	st := sampleStatus("engine-0001")
	c.statusMicros = microsPerOp(func() { retained = t.WithStatus(now, "engine-0001", st) })
	c.viewMicros = microsPerOp(func() { retained = t.View(now) })
	c.hostListSize = len(`{"name":"engine-0123","address":"10.0.12.34:7000","zone":"zone-a","region":"region-1","pool":"pool-1","state":"live"},`)
}

// microsPerOp benchmarks f and returns the microseconds a call.
func microsPerOp(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.NsPerOp()) / 1000
}

// measureMarks measures the heap of a fingerprint, from the difference between 500 and 1000 of them.
func (c *localCost) measureMarks() {
	marks := func(n int) float64 {
		return heapGrowth(func() any {
			s := poison.New(poison.Options{})
			for i := range n {
				fp := fmt.Sprintf("%064x", i)
				s = s.WithCrash(time.Now(), poison.Crash{ID: fmt.Sprint("engine-0001/7b1c/", i), InFlight: 4}, fp)
				s = s.WithCrash(time.Now(), poison.Crash{ID: fmt.Sprint("engine-0002/7b1c/", i), InFlight: 1}, fp)
			}
			return s
		})
	}
	c.markBytes = (marks(1000) - marks(500)) / 500
}

// measurePlan measures the time to plan targetSides runners and the size of the plan's record.
func (c *localCost) measurePlan() {
	in := plan.Input{Now: time.Now(), MaxLoads: 8, MoveAfter: time.Minute}
	var models []string
	for i := range targetModels {
		models = append(models, fmt.Sprint("model-", i))
		in.Requirements = append(in.Requirements, plan.Requirement{Model: models[i], Version: "2026-11", Runners: targetSides / targetModels})
		in.Demands = append(in.Demands, plan.Demand{Pipeline: "p", Model: models[i], PerSecond: 40, Seconds: 1})
	}
	targets := map[string]lease.Target{}
	for i := range targetSides {
		r := plan.Runner{Name: fmt.Sprintf("engine-%04d", i), Zone: zone(i), Live: true, Models: models, Loaded: true}
		r.Target = lease.Target{Model: models[(i+i%7)%targetModels], Version: "2026-11", Role: "serve"}
		targets[r.Name] = r.Target
		in.Runners = append(in.Runners, r)
	}
	c.planMillis = microsPerOp(func() { retained = plan.New(in) }) / 1000
	data, err := lease.Encode(lease.Record{Kind: lease.KindPlan, Lease: 12345, Targets: targets})
	if err == nil {
		c.planSize = len(data)
	}
}

// print prints all fields, three lines in all.
func (c localCost) print() {
	fmt.Printf("heap: %.0f B a team, %.0f B a host, %.0f B a fingerprint\n", c.teamBytes, c.hostBytes, c.markBytes)
	fmt.Printf("sizes: status %d B, host list %d B a host, plan %d B, snapshot %d B\n", c.statusSize, c.hostListSize, c.planSize, c.snapshotBytes)
	fmt.Printf("time at %d hosts: status %.0f us, view %.0f us; plan of %d runners %.1f ms\n", targetHosts, c.statusMicros, c.viewMicros, targetSides, c.planMillis)
}
