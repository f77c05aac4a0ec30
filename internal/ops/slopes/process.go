package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstreamhttp"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

const (
	serviceTime    = 15 * time.Millisecond
	overheadCalls  = 300
	settleDuration = 5 * time.Second
	idleDuration   = 10 * time.Second
	lookupInput    = `{"marker":"slopes"}`
)

var roles = [2]string{"entry", "side"}

// processSize is the number of hosts and teams that the processes know.
type processSize struct{ hosts, teams int }

// idleCost is the cost of a process without traffic.
type idleCost struct {
	residentMB  float64
	anonymousMB float64 // resident memory that no file backs
	cpu         float64 // percent of a core
}

// overhead compares the latency of a lookup through entry and side with that of a direct call of the upstream.
type overhead struct {
	direct, proxied [3]time.Duration // p50, p95, p99
}

// measureProcesses builds the program and runs it at three sizes: the base, with more hosts, and with more teams too.
func measureProcesses() error {
	logx.Disable()
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := filepath.Join(dir, "ragworthatch")
	out, err := exec.Command("go", "build", "-o", program, "github.com/ragworthatch/ragworthatch/cmd/ragworthatch").CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	sizes := [3]processSize{{20, 5}, {200, 5}, {200, targetTeams}}
	var costs [3][]idleCost
	for i, size := range sizes {
		if costs[i], err = measureDeployment(dir, program, size); err != nil {
			return fmt.Errorf("processes with %d hosts and %d teams: %w", size.hosts, size.teams, err)
		}
	}
	for i, role := range roles {
		printResident(role, sizes, [3]float64{costs[0][i].residentMB, costs[1][i].residentMB, costs[2][i].residentMB})
	}
	return nil
}

// printResident extrapolates the resident memory at three sizes linearly to the target size.
func printResident(role string, sizes [3]processSize, mb [3]float64) {
	perHost := (mb[1] - mb[0]) / float64(sizes[1].hosts-sizes[0].hosts)
	perTeam := (mb[2] - mb[1]) / float64(sizes[2].teams-sizes[1].teams)
	growthMB := perHost*float64(targetHosts-sizes[0].hosts) + perTeam*float64(targetTeams-sizes[0].teams)
	fmt.Printf("resident memory of %-5s: %.1f KB a host, %.1f KB a team; at the target %.1f MB, of it %.1f MB for hosts and teams; the budget is %d MB\n",
		role, perHost*1000, perTeam*1000, mb[0]+growthMB, growthMB, budgetMemoryMB)
}

// measureDeployment starts a deployment and prints its idle cost and its overhead. It returns the costs in the order of
// roles.
func measureDeployment(dir, program string, size processSize) ([]idleCost, error) {
	ctx := context.Background()
	d, err := newDeployment(dir, program, serviceTime, size.hosts)
	defer d.close()
	if err != nil {
		return nil, err
	}
	if err := d.publish(ctx, size.teams); err != nil {
		return nil, err
	}
	if err := eventually(ctx, func() error { return d.lookup(ctx) }); err != nil {
		return nil, err
	}
	time.Sleep(settleDuration)
	costs, err := measureIdle(d.entry, d.side)
	if err != nil {
		return nil, err
	}
	for i, role := range roles {
		c := costs[i]
		fmt.Printf("process of %-5s with %3d hosts and %4d teams, idle: %.1f MB resident, %.1f MB of it not the program's file, %.2f%% of a core\n",
			role, size.hosts, size.teams, c.residentMB, c.anonymousMB, c.cpu)
	}
	o, err := measureOverhead(ctx, d)
	if err != nil {
		return nil, err
	}
	fmt.Println(o)
	return costs, nil
}

// measureIdle measures several processes without traffic over the same idleDuration.
func measureIdle(cmds ...*exec.Cmd) ([]idleCost, error) {
	ticksBefore := make([]float64, len(cmds))
	for i, cmd := range cmds {
		var err error
		if ticksBefore[i], err = cpuTicks(cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	time.Sleep(idleDuration)
	costs := make([]idleCost, len(cmds))
	for i, cmd := range cmds {
		ticksAfter, err := cpuTicks(cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		costs[i].cpu = (ticksAfter - ticksBefore[i]) / idleDuration.Seconds()
		if costs[i].residentMB, costs[i].anonymousMB, err = residentMB(cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	return costs, nil
}

var lookupCaller = caller.New("slopes")

// lookup sends one request through the entry and the side.
func (d *deployment) lookup(ctx context.Context) error {
	a := lookupCaller.Call(ctx, d.http, caller.Request{
		ID: uuid.NewString(), Pipeline: "lookup", Token: "demo-collectors", Input: json.RawMessage(lookupInput),
	})
	if !a.Whole {
		return fmt.Errorf("lookup: status %d, %s %s %v", a.Status, a.Code, a.Message, a.Err)
	}
	return nil
}

// measureOverhead alternates direct and proxied calls, so that other load on the machine affects both alike.
func measureOverhead(ctx context.Context, d *deployment) (overhead, error) {
	u := upstreamhttp.New(d.upstream, 0)
	var direct, proxied []time.Duration
	for range overheadCalls {
		start := time.Now()
		if err := callUpstream(ctx, u); err != nil {
			return overhead{}, err
		}
		direct = append(direct, time.Since(start))
		start = time.Now()
		if err := d.lookup(ctx); err != nil {
			return overhead{}, err
		}
		proxied = append(proxied, time.Since(start))
	}
	return overhead{quantiles(direct), quantiles(proxied)}, nil
}

// callUpstream calls the upstream directly and reads the answer to its end.
func callUpstream(ctx context.Context, u *upstreamhttp.Upstream) error {
	s, err := u.Call(ctx, upstream.Call{ID: uuid.NewString(), Kind: "service", Body: []byte(lookupInput)})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(ctx); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// quantiles returns p50, p95 and p99.
func quantiles(of []time.Duration) [3]time.Duration {
	slices.Sort(of)
	at := func(percent int) time.Duration { return of[(len(of)-1)*percent/100] }
	return [3]time.Duration{at(50), at(95), at(99)}
}

// String formats the quantiles in milliseconds and the ratio of the medians.
func (o overhead) String() string {
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	return fmt.Sprintf("lookup of one stage, %d calls, p50 p95 p99: stand-in %.2f %.2f %.2f ms, entry and side %.2f %.2f %.2f ms; p50 %.2f ms more, %.3f times",
		overheadCalls, ms(o.direct[0]), ms(o.direct[1]), ms(o.direct[2]),
		ms(o.proxied[0]), ms(o.proxied[1]), ms(o.proxied[2]),
		ms(o.proxied[0]-o.direct[0]), float64(o.proxied[0])/float64(o.direct[0]))
}
