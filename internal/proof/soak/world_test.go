package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	_ "github.com/ragworthatch/ragworthatch/internal/edge/node" // so that a change of the program runs the tests anew
	"github.com/ragworthatch/ragworthatch/internal/fake/child"
	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
)

const (
	topicRules   = "keyed.op"
	topicHosts   = "keyed.servers"
	topicMembers = "keyed.members"

	grace      = 8 * time.Second // of the settings
	slowDelay  = 120 * time.Millisecond
	startLimit = 20 * time.Second
	tokens     = 6 // events of a stream

	internalPorts = 2 // for other entries and for the metrics
)

// service is an upstream behind a cable; its lifetimes come and go, its address stays.
type service struct {
	pool    string
	name    string
	shape   shape
	cable   *proxy.Proxy
	current atomic.Pointer[cloud.Upstream]
	act     atomic.Pointer[action]
	down    atomic.Bool
	mu      sync.Mutex
	past    []*cloud.Upstream
}

// shape is what the lifetimes of a service have in common.
type shape struct {
	work   time.Duration
	events int
	gap    time.Duration
}

// action answers in place of an upstream, and returns whether it did.
type action func(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.current.Load().ServeHTTP(w, r)
}

// all lists the lifetimes, the present one among them.
func (s *service) all() []*cloud.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*cloud.Upstream(nil), s.past...)
}

// world is the platform, its upstreams and the entries.
type world struct {
	c        *qt.C
	dir      string
	store    *cloud.Store
	services []*service
	entries  []*entry
	version  atomic.Int64
	mu       sync.Mutex
	peers    map[string]*proxy.Proxy // by reader and address
	closers  []func()
}

func newWorld(c *qt.C, entries int) *world {
	dir, err := os.MkdirTemp("", "soak")
	c.Assert(err, qt.IsNil)
	w := &world{c: c, dir: dir, store: cloud.NewStore(), peers: map[string]*proxy.Proxy{}}
	c.Cleanup(w.close)
	for i := range 3 {
		w.addService("plain", i, shape{work: 15 * time.Millisecond})
		w.addService("engines", i, shape{work: 40 * time.Millisecond, events: tokens, gap: 30 * time.Millisecond})
	}
	for i := range 2 {
		w.addService("first", i, shape{work: 20 * time.Millisecond})
		w.addService("second", i, shape{work: 20 * time.Millisecond})
	}
	w.publish()
	for i := range entries {
		w.addEntry(i)
	}
	return w
}

func (w *world) close() {
	for _, e := range w.entries {
		e.Kill()
		e.log.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.closers {
		f()
	}
	if w.c.Failed() {
		w.c.Logf("logs of the entries: %s", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) addService(pool string, i int, like shape) {
	s := &service{pool: pool, name: fmt.Sprintf("%s-%d", pool, i), shape: like}
	s.renew(0)
	server := httptest.NewServer(s)
	s.cable = w.newCable(server.Listener.Addr().String())
	w.closers = append(w.closers, server.CloseClientConnections)
	w.services = append(w.services, s)
	w.list(s, "ready")
}

// renew begins another lifetime.
func (s *service) renew(life int) {
	u := &cloud.Upstream{ID: fmt.Sprintf("%s.%d", s.name, life), Work: s.shape.work, Events: s.shape.events, Gap: s.shape.gap}
	u.Intercept = func(w http.ResponseWriter, r *http.Request, _ int) bool {
		act := s.act.Load()
		return act != nil && (*act)(u, w, r)
	}
	s.mu.Lock()
	s.past = append(s.past, u)
	s.mu.Unlock()
	s.current.Store(u)
}

// list writes the record of a service's present lifetime.
func (w *world) list(s *service, state string) {
	w.store.PutServer(s.current.Load().ID, s.pool, s.cable.Address(), state, 8)
}

func (w *world) unlist(s *service) { w.store.Put(topicHosts, s.current.Load().ID, nil) }

// publish puts the next configuration into the store; only it has the route /gate-VERSION/.
func (w *world) publish() {
	data, err := os.ReadFile("testdata/config.json")
	w.c.Assert(err, qt.IsNil)
	version := w.version.Add(1)
	w.store.Put(topicRules, "config", []byte(strings.ReplaceAll(string(data), "VERSION", fmt.Sprint(version))))
}

func (w *world) newCable(target string) *proxy.Proxy {
	c, err := proxy.New(target, slowDelay)
	w.c.Assert(err, qt.IsNil)
	w.closers = append(w.closers, c.Close)
	return c
}

// entry is one process, behind cables to the store and to the other entries.
type entry struct {
	*child.Child
	name         string
	front, ready string
	settings     string // path
	text         string // of the settings
	log          *os.File
	store        *proxy.Proxy
	storeFault   atomic.Value // storeFault
	gate         atomic.Int64 // newest version seen in force
	mu           sync.Mutex
	troubles     []span // when it could not be expected to answer
	stops        []span // planned stops
}

// span is a stretch of time; its end is zero while it lasts.
type span struct{ from, to time.Time }

func (s span) meets(from, to time.Time) bool { return from.Before(s.to) && s.from.Before(to) }

// storeFault is how the store treats one entry.
type storeFault string

const (
	storeWorks   storeFault = "works"
	storeRefuses storeFault = "refuses"
	storeLoses   storeFault = "loses" // calls are carried out, their answers lost
)

func (w *world) addEntry(i int) {
	e := &entry{name: fmt.Sprintf("entry-%d", i), front: ports.Next(), ready: ports.Next()}
	e.storeFault.Store(storeWorks)
	peer := netip.MustParseAddrPort(ports.Range(internalPorts))
	view := w.store.View(func(topic, _ string, value []byte) []byte { return w.memberAsSeen(e, topic, value) })
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch e.storeFault.Load() {
		case storeRefuses:
			rw.WriteHeader(http.StatusTooManyRequests)
		case storeLoses:
			view.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			view.ServeHTTP(rw, r)
		}
	}))
	w.closers = append(w.closers, server.CloseClientConnections)
	e.store = w.newCable(server.Listener.Addr().String())
	e.settings = filepath.Join(w.dir, e.name+".conf")
	e.text = strings.Join([]string{
		"node_name=" + e.name, "zone=zone-a", "ip=" + peer.Addr().String(), "listen.front=" + e.front, "listen.ready=" + e.ready,
		fmt.Sprintf("internal_ports=%d,%d", peer.Port(), peer.Port()+1), "platform.address=" + e.store.Address(),
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%g", grace.Seconds()),
		fmt.Sprintf("bounds.budget_ratio=%g", retryRatio), fmt.Sprintf("bounds.budget_slack=%d", retrySlack), "bounds.budget_window_s=10",
	}, "\n")
	w.c.Assert(os.WriteFile(e.settings, []byte(e.text), 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(w.dir, e.name+".log"))
	w.c.Assert(err, qt.IsNil)
	e.log = log
	e.Child = child.New(log, "edge", "--settings", e.settings)
	w.entries = append(w.entries, e)
	w.c.Assert(e.Start(), qt.IsNil)
}

// memberAsSeen puts a cable into the address of another entry, so that each pair of entries has one of its own.
func (w *world) memberAsSeen(reader *entry, topic string, value []byte) []byte {
	var record map[string]any
	if topic != topicMembers || json.Unmarshal(value, &record) != nil || record["host"] == reader.name {
		return value
	}
	address, _ := record["address"].(string)
	key := reader.name + " " + address
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.peers[key]
	if c == nil {
		var err error
		if c, err = proxy.New(address, slowDelay); err != nil {
			return value
		}
		w.peers[key] = c
		w.closers = append(w.closers, c.Close)
	}
	record["address"] = c.Address()
	changed, err := json.Marshal(record)
	if err != nil {
		return value
	}
	return changed
}

// peerCables lists the cables from one entry to the others.
func (w *world) peerCables(reader *entry) []*proxy.Proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proxy.Proxy
	for key, c := range w.peers {
		if strings.HasPrefix(key, reader.name+" ") {
			out = append(out, c)
		}
	}
	return out
}

// begin opens a span, and returns what ends it.
func (e *entry) begin(list *[]span) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(*list)
	*list = append(*list, span{from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		(*list)[i].to = time.Now()
	}
}

// troubled says whether the process was killed, paused or not there in a stretch of time.
func (e *entry) troubled(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.troubles {
		if s.meets(from.Add(-troubleMargin), to.Add(troubleMargin)) {
			return true
		}
	}
	return false
}

// isReady asks as the balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Get("http://" + e.ready + "/ragworthatch/readiness")
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}
