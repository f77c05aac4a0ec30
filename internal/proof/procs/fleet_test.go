package procs_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	_ "github.com/ragworthatch/ragworthatch/internal/entry/boot" // so that a change of the program reruns the tests
	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/child"
	"github.com/ragworthatch/ragworthatch/internal/fake/engine"
	"github.com/ragworthatch/ragworthatch/internal/fake/flood"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/member"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
	"github.com/ragworthatch/ragworthatch/internal/fake/record"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/fake/store"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	_ "github.com/ragworthatch/ragworthatch/internal/sidecar/boot" // as above
)

const (
	operatorsToken  = "demo-operators"
	operatorsDigest = "66da63681d0c05a8af0d0abaec587ce0127af1a469ecd1a46379d7f91d837677"
	hostListLag     = 500 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func TestMain(m *testing.M) {
	logx.Disable()
	code := m.Run()
	child.Clean()
	os.Exit(code)
}

// process is one entry or side that runs as a separate process.
type process struct {
	*child.Child
	t       *testing.T
	name    string
	address string // of its gRPC server
	http    string // of an entry
	log     *os.File
}

func (p *process) start() {
	p.t.Helper()
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// fleet is a deployment of entries and sides, with fakes of the upstreams and the platform.
type fleet struct {
	t       *testing.T
	dir     string
	log     *memlog.Log
	list    *roster.List
	logHTTP *httpd.Server
	hosts   *httpd.Server
	units   map[string]*base.Upstream
	engines []*engine.Engine
	weights *httpd.Server
	sides   map[string]*process
	entries []*process
	servers map[string]*httpd.Server // of the upstreams
	proxies map[string]*proxy.Proxy  // in front of the sides
	flood   *flood.Flood
	flooded atomic.Bool // all upstreams answer as flood does
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), log: memlog.New(), list: roster.New(hostListLag), units: map[string]*base.Upstream{},
		sides: map[string]*process{}, servers: map[string]*httpd.Server{}, proxies: map[string]*proxy.Proxy{},
		flood: flood.New()}
	f.logHTTP = f.serve(httpd.Log(f.log))
	f.hosts = f.serve(httpd.Hosts(f.list))
	f.weights = f.serve(httpd.Weights(store.New(map[string]int64{"atlas": 1 << 30, "boreas": 1 << 30}, 1<<30)))
	for i, zone := range zones {
		f.addEntry(fmt.Sprintf("entry-%d", i+1), zone)
	}
	for i, zone := range zones {
		f.addUpstreams(i, zone)
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) serve(h http.Handler) *httpd.Server {
	s, err := httpd.New("127.0.0.1:0", h)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Down)
	return s
}

func (f *fleet) addUpstreams(i int, zone string) {
	for _, pool := range []string{"encoders", "retrievers", "rerankers"} {
		m := member.New(16, 4*time.Millisecond)
		f.addSide(pool, fmt.Sprintf("%s-%d", pool, i), zone, m.Upstream, httpd.Upstream(m))
	}
	e := engine.New(engine.Config{
		Concurrency: 12, PrefillPerToken: 10 * time.Microsecond, DecodePerToken: 4 * time.Millisecond,
		CachedPrefixes: 64, ChecksFence: true, State: runner.State{Model: "atlas", Version: "1", Role: "generate"},
	})
	f.engines = append(f.engines, e)
	f.addSide("engines", fmt.Sprintf("engine-%d", i), zone, e.Upstream, httpd.Engine(e, e))
	s := plain.New(16, 10*time.Millisecond)
	f.addSide("treasury", fmt.Sprintf("treasury-%d", i), zone, s.Upstream, httpd.Upstream(s))
}

func (f *fleet) addSide(pool, name, zone string, u *base.Upstream, h http.Handler) {
	server := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.flooded.Load() {
			f.flood.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	}))
	server.Follow(u.Proc)
	f.units[name] = u
	f.servers[name] = server
	p := f.process("side", name, zone, fmt.Sprintf("pool: %s\nupstream: %s\n", pool, server.Address()))
	f.sides[name] = p
	inbound, err := proxy.New(p.address, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(inbound.Close)
	f.proxies[name] = inbound
	f.list.Put(host.Host{Name: name, Address: inbound.Address(), Zone: zone, Region: "north", Pool: pool,
		State: host.Live})
	p.start()
}

func (f *fleet) addEntry(name, zone string) {
	http := ports.Next()
	p := f.process("entry", name, zone, fmt.Sprintf("http: %s\noperatorTokenDigest: %s\nweightStore: %s\n",
		http, operatorsDigest, f.weights.Address()))
	p.http = http
	f.entries = append(f.entries, p)
	f.list.Put(host.Host{Name: name, Address: p.address, Zone: zone, Region: "north", State: host.Live})
	p.start()
}

func (f *fleet) process(role, name, zone, extra string) *process {
	p := &process{t: f.t, name: name, address: ports.Next()}
	settings := fmt.Sprintf("role: %s\nname: %s\nregion: north\nzone: %s\nzones: [zone-a, zone-b, zone-c]\ngrpc: %s\nlog: %s\nhostList: %s\nlogLevel: info\n%s",
		role, name, zone, p.address, f.logHTTP.Address(), f.hosts.Address(), extra)
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p.log = log
	p.Child = child.New(log, role, "--settings", file)
	return p
}

func (f *fleet) processes() []*process {
	out := append([]*process{}, f.entries...)
	for _, p := range f.sides {
		out = append(out, p)
	}
	return out
}

func (f *fleet) books() []*record.Recorder {
	var out []*record.Recorder
	for _, u := range f.units {
		out = append(out, u.Recorder)
	}
	return out
}

// close ends every process and shows the logs if the test failed.
func (f *fleet) close() {
	for _, p := range f.processes() {
		p.Kill()
		p.log.Close()
	}
	if f.t.Failed() {
		f.showLogs()
	}
}

// showLogs prints the warnings and errors of all processes.
func (f *fleet) showLogs() {
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		for line := range bytes.Lines(data) {
			if strings.Contains(string(line), `"level":"info"`) {
				continue
			}
			f.t.Logf("%s: %s", filepath.Base(file), bytes.TrimSpace(line))
		}
	}
}
