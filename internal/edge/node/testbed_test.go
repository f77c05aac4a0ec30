package node_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/node"
	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
)

const (
	waitLimit     = 10 * time.Second
	internalPorts = 2 // one for other entries, one for the metrics
)

// testbed holds a fake platform, upstreams and entries, all in this process.
type testbed struct {
	c         *qt.C
	store     *cloud.Store
	storeURL  string
	upstreams map[string]*cloud.Upstream
	addresses map[string]string // of the upstreams, by ID
	pools     map[string]string // of those that startUpstream started, by ID
	servers   sync.Map          // *httptest.Server by ID
	version   int               // of the last configuration that configure wrote
	entries   []*entry
}

// entry is one running node.
type entry struct {
	front, ready string // addresses for callers and for readiness probes
	metrics      string // address of the metrics
	stop         context.CancelFunc
	kill         context.CancelFunc
	done         chan error // receives the result of Run
}

func newTestbed(t *testing.T) *testbed {
	w := &testbed{c: qt.New(t), store: cloud.NewStore(), upstreams: map[string]*cloud.Upstream{},
		addresses: map[string]string{}, pools: map[string]string{}}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	w.storeURL = server.Listener.Addr().String()
	return w
}

// startUpstream starts an upstream and adds it to the list as ready.
func (w *testbed) startUpstream(pool string, u *cloud.Upstream) *cloud.Upstream {
	server := httptest.NewServer(u)
	w.c.Cleanup(server.Close)
	w.upstreams[u.ID] = u
	w.servers.Store(u.ID, server)
	w.addresses[u.ID] = server.Listener.Addr().String()
	w.pools[u.ID] = pool
	w.listUpstream(u.ID, pool, "ready")
	return u
}

// crashUpstream ends the process of an upstream: its connections break off, and it accepts no others.
func (w *testbed) crashUpstream(id string) {
	if server, ok := w.servers.Load(id); ok {
		_ = server.(*httptest.Server).Listener.Close()
		server.(*httptest.Server).CloseClientConnections()
	}
}

// listUpstream writes the entry of an upstream to the store's list, with the given state and 4 slots.
func (w *testbed) listUpstream(id, pool, state string) {
	w.listLifetime(id, pool, state, 1)
}

// listLifetime does the same for an upstream whose process started at born, in Unix ms.
func (w *testbed) listLifetime(id, pool, state string, born int64) {
	w.store.PutServer(id, pool, cmp.Or(w.upstreams[id].Version, "v1"), w.addresses[id], state, 4, born)
}

// configure publishes the configuration of testdata with a new version; changes are pairs of old and new texts.
func (w *testbed) configure(changes ...string) {
	data, err := os.ReadFile("testdata/config.json")
	w.c.Assert(err, qt.IsNil)
	w.version++
	text := strings.NewReplacer(changes...).Replace(string(data))
	w.store.Put("keyed.op", "config", []byte(strings.Replace(text, `"version": 1`,
		fmt.Sprintf(`"version": %d`, w.version), 1)))
}

// startEntry runs an entry, with additional lines of settings, without waiting until it is ready.
func (w *testbed) startEntry(name string, more ...string) *entry {
	e := &entry{front: ports.Next(), ready: ports.Next(), done: make(chan error, 1)}
	peers := netip.MustParseAddrPort(ports.Range(internalPorts))
	e.metrics = netip.AddrPortFrom(peers.Addr(), peers.Port()+1).String()
	path := filepath.Join(w.c.TempDir(), "settings.conf")
	settings := strings.Join(append([]string{
		"node_name=" + name, "zone=zone-a", "ip=" + peers.Addr().String(), "listen.front=" + e.front,
		"listen.ready=" + e.ready,
		fmt.Sprintf("internal_ports=%d,%d", peers.Port(), peers.Port()+1), "platform.address=" + w.storeURL,
		"bounds.drain_ms=600", "bounds.grace_s=4", "bounds.budget_ratio=0.2", "bounds.budget_slack=80",
		"bounds.budget_window_s=10",
	}, more...), "\n")
	w.c.Assert(os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	n, err := node.New(path, 0, zap.NewNop())
	w.c.Assert(err, qt.IsNil)
	stop, cancel := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	e.stop, e.kill = cancel, end
	go func() { e.done <- n.Run(stop, kill) }()
	w.c.Cleanup(func() { cancel(); end() })
	w.entries = append(w.entries, e)
	return e
}

// waitReady waits until an entry answers its readiness probe with the given status.
func (w *testbed) waitReady(e *entry, status int) {
	w.eventually(func() bool {
		got, err := http.Get("http://" + e.ready + "/ragworthatch/readiness")
		if err != nil {
			return false
		}
		_ = got.Body.Close()
		return got.StatusCode == status
	})
}

// eventually waits until ok returns true and fails the test after waitLimit.
func (w *testbed) eventually(ok func() bool) {
	w.c.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.c.Fatal("not reached in time")
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
}

// do sends a request; headers are pairs of name and value.
func (w *testbed) do(e *entry, method, target, id, body string, headers ...string) answer {
	w.c.Helper()
	r, err := http.NewRequest(method, "http://"+e.front+target, strings.NewReader(body))
	w.c.Assert(err, qt.IsNil)
	r.Host = "svc.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Credential", "key-one")
	r.Header.Set("Deadline-Ms", "3000")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		Timeout: waitLimit}
	got, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(data), err: err}
}

// sendRaw sends bytes on a connection and returns the status line of the answer.
func (w *testbed) sendRaw(e *entry, text string) string {
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}
