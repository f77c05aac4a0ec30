package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/demo/world"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/fake/store"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/strict"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
)

const (
	operatorsToken      = "demo-operators"
	operatorsDigest     = "66da63681d0c05a8af0d0abaec587ce0127af1a469ecd1a46379d7f91d837677"
	upstreamConcurrency = 16
	teamsPerPublish     = 100
	retryInterval       = 100 * time.Millisecond
	startTimeout        = 40 * time.Second
)

// deployment is one entry and one side, each in its own process, with fakes of the platform and of an upstream.
type deployment struct {
	dir      string
	program  string
	roster   *roster.List
	servers  []*httpd.Server
	upstream string // address of the fake upstream
	http     string // address of the entry
	entry    *exec.Cmd
	side     *exec.Cmd
}

// newDeployment starts the processes. The other hosts on the host list have dead addresses and belong to another pool.
func newDeployment(dir, program string, service time.Duration, hosts int) (*deployment, error) {
	d := &deployment{dir: dir, program: program, roster: roster.New(0)}
	log, err := d.serve(httpd.Log(memlog.New()))
	if err != nil {
		return d, err
	}
	list, err := d.serve(httpd.Hosts(d.roster))
	if err != nil {
		return d, err
	}
	weights, err := d.serve(httpd.Weights(store.New(map[string]int64{"atlas": 1 << 30}, 1<<30)))
	if err != nil {
		return d, err
	}
	if d.upstream, err = d.serve(httpd.Upstream(plain.New(upstreamConcurrency, service))); err != nil {
		return d, err
	}
	for i := 2; i < hosts; i++ {
		d.roster.Put(host.Host{
			Name: fmt.Sprintf("absent-%04d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000),
			Zone: "zone-a", Region: "north", Pool: "rerankers", State: host.Live,
		})
	}
	common := fmt.Sprintf("region: north\nzone: zone-a\nzones: [zone-a]\nlog: %s\nhostList: %s\nlogLevel: info\n", log, list)
	if d.http, err = freeAddress(); err != nil {
		return d, err
	}
	entryOnly := fmt.Sprintf("http: %s\noperatorTokenDigest: %s\nweightStore: %s\n", d.http, operatorsDigest, weights)
	if d.entry, err = d.start("entry", "", common+entryOnly); err != nil {
		return d, err
	}
	d.side, err = d.start("side", "treasury", common+fmt.Sprintf("pool: treasury\nupstream: %s\n", d.upstream))
	return d, err
}

// serve starts an HTTP server and returns its address.
func (d *deployment) serve(h http.Handler) (string, error) {
	s, err := httpd.New(world.AnyPort, h)
	if err != nil {
		return "", err
	}
	d.servers = append(d.servers, s)
	return s.Address(), nil
}

// start adds a process to the host list and starts it with the given settings.
func (d *deployment) start(role, pool, settings string) (*exec.Cmd, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d.roster.Put(host.Host{Name: role, Address: address, Zone: "zone-a", Region: "north", Pool: pool, State: host.Live})
	file := filepath.Join(d.dir, role+".yaml")
	head := fmt.Sprintf("role: %s\nname: %s\ngrpc: %s\n", role, role, address)
	if err := os.WriteFile(file, []byte(head+settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, role+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(d.program, role, "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	return cmd, cmd.Start()
}

// publish publishes the declarations of the demo and n more teams, and puts the ordinary preset in force.
func (d *deployment) publish(ctx context.Context, n int) error {
	var objects config.Objects
	if err := strict.New(world.Declarations).Decode(&objects); err != nil {
		return err
	}
	for i := range objects.Teams {
		objects.Teams[i].Share /= 2 // leaves shares for the additional teams
	}
	if err := d.change(ctx, admin.PathPublish, admin.PublishRequest{Author: "slopes", Change: config.Change{Set: objects}}); err != nil {
		return err
	}
	for i := 0; i < n; i += teamsPerPublish {
		change := sampleTeams(i, min(teamsPerPublish, n-i))
		if err := d.change(ctx, admin.PathPublish, admin.PublishRequest{Author: "slopes", Change: change}); err != nil {
			return err
		}
	}
	return d.change(ctx, admin.PathPreset, admin.PresetRequest{Author: "slopes", Name: "ordinary"})
}

// change posts an operator's request until it is accepted.
func (d *deployment) change(ctx context.Context, path string, request any) error {
	return eventually(ctx, func() error {
		var r publish.Result
		err := admin.New(d.http, operatorsToken).Post(ctx, path, request, &r)
		if err == nil && r.State != publish.Accepted {
			err = &publish.Error{Result: r}
		}
		return err
	})
}

// close kills the processes and stops the fakes.
func (d *deployment) close() {
	for _, cmd := range []*exec.Cmd{d.entry, d.side} {
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for _, s := range d.servers {
		s.Down()
	}
}

// eventually calls f until it succeeds or startTimeout has passed, and returns the last error.
func eventually(ctx context.Context, f func() error) error {
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
		case <-time.After(retryInterval):
		}
	}
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", world.AnyPort)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// residentMB returns the resident memory of a process and its anonymous part, which no file backs, in MB.
func residentMB(pid int) (all, anonymous float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	megabytes := func(name string) float64 {
		_, rest, _ := strings.Cut(string(data), name+":")
		line, _, _ := strings.Cut(rest, " kB")
		kb, _ := strconv.ParseFloat(strings.TrimSpace(line), 64)
		return kb * 1024 / 1e6
	}
	return megabytes("VmRSS"), megabytes("RssAnon"), nil
}

// cpuTicks returns the CPU time of a process in hundredths of a second.
func cpuTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	const user, system = 11, 12 // indexes of utime and stime after the command name
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: %d fields in its stat", pid, len(fields))
	}
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return u + s, nil
}
