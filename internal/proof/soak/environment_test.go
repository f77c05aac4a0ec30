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

	_ "github.com/ragworthatch/ragworthatch/internal/edge/node" // so that a change of the program reruns the tests
	"github.com/ragworthatch/ragworthatch/internal/fake/child"
	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
)

const (
	topicRules   = "keyed.op"
	topicHosts   = "keyed.servers"
	topicMembers = "keyed.members"

	gracePeriod = 8 * time.Second // bounds.grace_s of the settings
	slowDelay   = 120 * time.Millisecond
	startLimit  = 20 * time.Second
	tokens      = 6 // events of a stream

	internalPorts = 2 // one for other entries, one for the metrics
)

// zoneNames are the availability zones of the upstreams; the entries are in the first one.
var zoneNames = []string{"zone-a", "zone-b"}

// service is an upstream behind a proxy. Its lifetimes replace each other at the same address.
type service struct {
	pool      string
	name      string
	shape     shape
	zone      string
	version   int // of the software of all its lifetimes
	proxy     *proxy.Proxy
	current   atomic.Pointer[cloud.Upstream]
	override  atomic.Pointer[override]
	down      atomic.Bool
	mu        sync.Mutex
	lifetimes []*cloud.Upstream
}

// shape holds the parameters that all lifetimes of a service share.
type shape struct {
	work   time.Duration
	events int
	gap    time.Duration
}

// override may answer a request in place of an upstream; it reports whether it did.
type override func(u *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.current.Load().ServeHTTP(w, r)
}

// allLifetimes returns all lifetimes including the current one.
func (s *service) allLifetimes() []*cloud.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*cloud.Upstream(nil), s.lifetimes...)
}

// environment is the store, the upstreams and the entries.
type environment struct {
	c        *qt.C
	dir      string
	store    *cloud.Store
	services []*service
	entries  []*entry
	version  atomic.Int64
	mu       sync.Mutex
	peers    map[string]*proxy.Proxy // between entries, by name of the caller and address
	closers  []func()                // guarded by mu: the store's handlers add proxies while entries are still added
}

func newEnvironment(c *qt.C, entries int) *environment {
	dir, err := os.MkdirTemp("", "soak")
	c.Assert(err, qt.IsNil)
	env := &environment{c: c, dir: dir, store: cloud.NewStore(), peers: map[string]*proxy.Proxy{}}
	c.Cleanup(env.close)
	for i, zone := range []string{"zone-a", "zone-a", "zone-b"} {
		env.addService("plain", zone, i, shape{work: 15 * time.Millisecond})
		env.addService("engines", zone, i, shape{work: 40 * time.Millisecond, events: tokens, gap: 30 * time.Millisecond})
	}
	for i, zone := range zoneNames {
		env.addService("first", zone, i, shape{work: 20 * time.Millisecond})
		env.addService("second", zone, i, shape{work: 20 * time.Millisecond})
	}
	env.publish()
	for i := range entries {
		env.addEntry(i)
	}
	return env
}

func (env *environment) close() {
	for _, e := range env.entries {
		e.Kill()
		e.log.Close()
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, f := range env.closers {
		f()
	}
	if env.c.Failed() {
		env.c.Logf("logs of the entries: %s", env.dir)
		return
	}
	_ = os.RemoveAll(env.dir)
}

func (env *environment) addService(pool, zone string, i int, template shape) {
	s := &service{pool: pool, zone: zone, name: fmt.Sprintf("%s-%d", pool, i), shape: template, version: i % versions}
	s.startLifetime(0)
	server := httptest.NewServer(s)
	s.proxy = env.newProxy(server.Listener.Addr().String())
	env.addCloser(server.CloseClientConnections)
	env.services = append(env.services, s)
	env.list(s, "ready")
}

// startLifetime replaces the current lifetime by a new one.
func (s *service) startLifetime(number int) {
	u := &cloud.Upstream{ID: fmt.Sprintf("%s.%d", s.name, number), Version: fmt.Sprint("v", s.version),
		Work: s.shape.work, Events: s.shape.events, Gap: s.shape.gap}
	u.Intercept = func(w http.ResponseWriter, r *http.Request, _ int) bool {
		o := s.override.Load()
		return o != nil && (*o)(u, w, r)
	}
	s.mu.Lock()
	s.lifetimes = append(s.lifetimes, u)
	s.mu.Unlock()
	s.current.Store(u)
}

// list writes the record of a service's current lifetime to the store.
func (env *environment) list(s *service, state string) {
	env.store.PutServerIn(s.zone, s.current.Load().ID, s.pool, s.current.Load().Version, s.proxy.Address(), state, 8, 1)
}

func (env *environment) unlist(s *service) { env.store.Put(topicHosts, s.current.Load().ID, nil) }

// publish puts the next configuration into the store. The route /gate-VERSION/ exists only in that version.
func (env *environment) publish() {
	data, err := os.ReadFile("testdata/config.json")
	env.c.Assert(err, qt.IsNil)
	version := env.version.Add(1)
	env.store.Put(topicRules, "config", []byte(strings.ReplaceAll(string(data), "VERSION", fmt.Sprint(version))))
}

func (env *environment) newProxy(target string) *proxy.Proxy {
	p, err := proxy.New(target, slowDelay)
	env.c.Assert(err, qt.IsNil)
	env.addCloser(p.Close)
	return p
}

func (env *environment) addCloser(f func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.closers = append(env.closers, f)
}

// entry is one entry process, which reaches the store and the other entries through proxies.
type entry struct {
	*child.Child
	name          string
	front, ready  string
	peer          string // address for the other entries
	settings      string // path of the settings file
	text          string // of the settings file
	log           *os.File
	store         *proxy.Proxy
	storeFault    atomic.Value // storeFault
	configVersion atomic.Int64 // newest version seen in force
	mu            sync.Mutex
	outages       []span // when it was killed or paused
	stops         []span // planned stops
}

// span is an interval of time; while it lasts, its end lies in the future.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool { return from.Before(s.to) && s.from.Before(to) }

// storeFault is how the store answers the calls of one entry.
type storeFault string

const (
	storeWorks   storeFault = "works"
	storeRefuses storeFault = "refuses"
	storeLoses   storeFault = "loses" // calls take effect, their answers are lost
)

func (env *environment) addEntry(i int) {
	e := &entry{name: fmt.Sprintf("entry-%d", i), front: ports.Next(), ready: ports.Next()}
	e.storeFault.Store(storeWorks)
	peer := netip.MustParseAddrPort(ports.Range(internalPorts))
	e.peer = peer.String()
	view := env.store.View(func(topic, _ string, value []byte) []byte { return env.rewriteMember(e, topic, value) })
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
	env.addCloser(server.CloseClientConnections)
	e.store = env.newProxy(server.Listener.Addr().String())
	e.settings = filepath.Join(env.dir, e.name+".conf")
	e.text = strings.Join([]string{
		"node_name=" + e.name, "zone=zone-a", "ip=" + peer.Addr().String(),
		"listen.front=" + e.front, "listen.ready=" + e.ready,
		fmt.Sprintf("internal_ports=%d,%d", peer.Port(), peer.Port()+1), "platform.address=" + e.store.Address(),
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%g", gracePeriod.Seconds()),
		fmt.Sprintf("bounds.budget_ratio=%g", retryRatio), fmt.Sprintf("bounds.budget_slack=%d", retrySlack),
		"bounds.budget_window_s=10",
	}, "\n")
	env.c.Assert(os.WriteFile(e.settings, []byte(e.text), 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(env.dir, e.name+".log"))
	env.c.Assert(err, qt.IsNil)
	e.log = log
	e.Child = child.New(log, "edge", "--settings", e.settings)
	env.entries = append(env.entries, e)
	env.c.Assert(e.Start(), qt.IsNil)
}

// rewriteMember replaces the address in the record of another entry by that of a proxy. Each pair of entries has its
// own proxy in each direction.
func (env *environment) rewriteMember(reader *entry, topic string, value []byte) []byte {
	var record map[string]any
	if topic != topicMembers || json.Unmarshal(value, &record) != nil || record["host"] == reader.name {
		return value
	}
	address, _ := record["address"].(string)
	key := reader.name + " " + address
	env.mu.Lock()
	defer env.mu.Unlock()
	p := env.peers[key]
	if p == nil {
		var err error
		if p, err = proxy.New(address, slowDelay); err != nil {
			return value
		}
		env.peers[key] = p
		env.closers = append(env.closers, p.Close)
	}
	record["address"] = p.Address()
	changed, err := json.Marshal(record)
	if err != nil {
		return value
	}
	return changed
}

// peerProxies returns the proxies from one entry to the others.
func (env *environment) peerProxies(reader *entry) []*proxy.Proxy {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []*proxy.Proxy
	for key, p := range env.peers {
		if strings.HasPrefix(key, reader.name+" ") {
			out = append(out, p)
		}
	}
	return out
}

// beginSpan adds a span to the list that lasts until end is called.
func (e *entry) beginSpan(list *[]span) (end func()) {
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

// wasDown reports whether the process was killed or paused at some moment of an interval, with a margin.
func (e *entry) wasDown(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.outages {
		if s.overlaps(from.Add(-outageMargin), to.Add(outageMargin)) {
			return true
		}
	}
	return false
}

// isReady calls the readiness endpoint as the balancer does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Get("http://" + e.ready + "/ragworthatch/readiness")
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}
