package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// fakeSidecar answers watches and holds calls until their context ends.
type fakeSidecar struct {
	sidepb.UnimplementedSideServer
	name        string
	incarnation string
	state       atomic.Value  // string
	changed     chan struct{} // makes a watch send a status at once
	flapping    atomic.Bool   // ends each watch after one status
}

func newSidecar(name, incarnation string) *fakeSidecar {
	s := &fakeSidecar{name: name, incarnation: incarnation, changed: make(chan struct{}, 16)}
	s.state.Store("live")
	return s
}

func (s *fakeSidecar) leave() {
	s.state.Store("leaving")
	s.changed <- struct{}{}
}

func (s *fakeSidecar) Watch(_ *sidepb.WatchRequest, out sidepb.Side_WatchServer) error {
	heartbeat := time.NewTicker(timing.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		st := &sidepb.Status{Upstream: s.name, State: s.state.Load().(string),
			Incarnation: s.incarnation, UpstreamHealthy: true}
		if err := out.Send(st); err != nil {
			return err
		}
		if s.flapping.Load() {
			return nil
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-heartbeat.C:
		case <-s.changed:
		}
	}
}

func (s *fakeSidecar) Call(_ *sidepb.CallRequest, out sidepb.Side_CallServer) error {
	<-out.Context().Done()
	return out.Context().Err()
}

// network dials nodes and can silence their connections, the existing ones or new ones too.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*inmem.Node
	conns   map[string][]*testConn
	muteNew map[string]bool // addresses whose new connections are silent
}

// testConn is a connection that can be silenced: its watches then deliver no statuses but stay open.
type testConn struct {
	*inmem.Link
	silent atomic.Bool
	closed atomic.Bool
}

func (c *testConn) Close() error {
	c.closed.Store(true)
	return nil
}

func (c *testConn) Watch(
	ctx context.Context, in *sidepb.WatchRequest, opts ...grpc.CallOption) (
	grpc.ServerStreamingClient[sidepb.Status], error) {
	s, err := c.Link.Watch(ctx, in, opts...)
	return &mutedStream{s, c}, err
}

// mutedStream drops the statuses of a watch while its connection is silent.
type mutedStream struct {
	grpc.ServerStreamingClient[sidepb.Status]
	c *testConn
}

func (s *mutedStream) Recv() (*sidepb.Status, error) {
	for {
		st, err := s.ServerStreamingClient.Recv()
		if err != nil || !s.c.silent.Load() {
			return st, err
		}
	}
}

func (n *network) dial(address string) (Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[address] == nil {
		n.nodes[address] = inmem.NewNode()
	}
	c := &testConn{Link: inmem.New(n.nodes[address], nil)}
	c.silent.Store(n.muteNew[address])
	n.conns[address] = append(n.conns[address], c)
	return c, nil
}

// silence silences all connections to an address for good, and with alsoNew also those still to come.
func (n *network) silence(address string, alsoNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muteNew[address] = alsoNew
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
}

// dialed returns how many connections to an address were opened.
func (n *network) dialed(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns[address])
}

// first returns the first connection that was opened to an address.
func (n *network) first(address string) *testConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[address][0]
}

// hostList is a fake host list that answers with hosts and err.
type hostList struct {
	mu    sync.Mutex
	hosts []host.Host
	err   error
}

func (l *hostList) Hosts(context.Context) ([]host.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, l.err
}

func (l *hostList) set(err error, hosts ...host.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.err = hosts, err
}

// fixture is a running pool and the fake sidecars of its upstreams.
type fixture struct {
	*qt.C
	net      *network
	list     *hostList
	pool     *Pool
	sidecars map[string]*fakeSidecar
}

var (
	hostA = host.Host{Name: "a", Address: "10.0.0.1:1", Zone: "z1", Region: "r", Pool: "p", State: host.Live}
	hostB = host.Host{Name: "b", Address: "10.0.0.2:1", Zone: "z2", Region: "r", Pool: "p", State: host.Live}
)

// run runs a test with a pool that has run for a second, on a host list with the upstreams a and b.
func run(t *testing.T, subset Subset, test func(b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		b := &fixture{
			C:        qt.New(t),
			net:      &network{nodes: map[string]*inmem.Node{}, conns: map[string][]*testConn{}, muteNew: map[string]bool{}},
			list:     &hostList{hosts: []host.Host{hostA, hostB}},
			sidecars: map[string]*fakeSidecar{},
		}
		for _, h := range b.list.hosts {
			b.start(h, "i1")
		}
		pool, err := New(Options{Entry: "e", Hosts: b.list, Dial: b.net.dial, Subset: subset, Log: zap.NewNop()})
		b.Assert(err, qt.IsNil)
		b.pool = pool
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- pool.Run(ctx) }()
		defer func() {
			cancel()
			b.Check(<-done, qt.IsNil)
			for _, n := range b.net.nodes {
				n.Kill()
			}
			synctest.Wait()
		}()
		time.Sleep(time.Second)
		test(b)
	})
}

// start starts a sidecar at the address of a host, in place of an earlier one.
func (b *fixture) start(h host.Host, incarnation string) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	if b.net.nodes[h.Address] == nil {
		b.net.nodes[h.Address] = inmem.NewNode()
	}
	b.sidecars[h.Name] = newSidecar(h.Name, incarnation)
	b.net.nodes[h.Address].Start(b.sidecars[h.Name])
}

func (b *fixture) state(name string) member.State {
	u, _ := b.pool.View().Upstream(name)
	return u.State
}

func (b *fixture) connected(name string) bool {
	_, ok := b.pool.Client(name)
	return ok
}

func TestStatusIsReceived(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.Assert(b.connected("a"), qt.IsTrue)
		u, _ := b.pool.View().Upstream("a")
		b.Assert(u.Incarnation, qt.Equals, "i1")
		b.Assert(u.Connected, qt.IsTrue)
	})
}

func TestSidecarLeavingShowsWithinBound(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.sidecars["a"].leave()
		time.Sleep(timing.MaxLeavingTime)
		b.Assert(b.state("a"), qt.Equals, member.Leaving)
		b.Assert(b.pool.View().Usable("p"), qt.HasLen, 1)
	})
}

func TestListLeavingShowsWithinBound(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.list.set(nil, hostA.WithState(host.Leaving), hostB)
		time.Sleep(timing.MaxLeavingTime)
		b.Assert(b.state("a"), qt.Equals, member.Leaving)
	})
}

func TestRefusedCallShowsAtOnce(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.pool.Leaving("a", "i1")
		time.Sleep(2 * publishInterval)
		b.Assert(b.state("a"), qt.Equals, member.Leaving)
	})
}

func TestHostListOutageKeepsAllUpstreams(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.list.set(errors.New("down"))
		time.Sleep(time.Hour)
		b.list.set(nil)
		time.Sleep(time.Hour)
		b.Assert(b.pool.View().Usable("p"), qt.HasLen, 2)
		b.Assert(b.connected("a"), qt.IsTrue)
	})
}

func TestSilentConnectionIsReplacedWithoutSuspicion(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.net.silence(hostA.Address, false)
		b.pool.Suspect("a")
		time.Sleep(time.Second)
		b.Assert(b.connected("a"), qt.IsTrue)
		b.Assert(b.state("a"), qt.Equals, member.Live)
		b.Assert(b.net.dialed(hostA.Address), qt.Equals, 2)
	})
}

func TestSilentWatchIsReplacedWithoutHint(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.net.silence(hostA.Address, false)
		for range 30 {
			time.Sleep(time.Second)
			b.Assert(b.state("a"), qt.Equals, member.Live)
		}
		b.Assert(b.connected("a"), qt.IsTrue)
		b.Assert(b.net.dialed(hostA.Address), qt.Equals, 2)
	})
}

func TestUpstreamIsSuspectWhenNewConnectionsAreSilentToo(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.net.silence(hostA.Address, true)
		b.pool.Suspect("a")
		time.Sleep(probeTimeout + time.Second)
		b.Assert(b.state("a"), qt.Equals, member.Suspect)
		b.Assert(b.connected("a"), qt.IsFalse)
		b.net.silence(hostA.Address, false)
		time.Sleep(maxBackoff + probeTimeout)
		b.Assert(b.state("a"), qt.Equals, member.Live)
		b.Assert(b.connected("a"), qt.IsTrue)
	})
}

func TestRepeatedReportsReplaceFewConnections(t *testing.T) {
	run(t, nil, func(b *fixture) {
		for range 100 {
			b.pool.Suspect("a")
			time.Sleep(100 * time.Millisecond)
		}
		b.Assert(b.net.dialed(hostA.Address) <= 4, qt.IsTrue, qt.Commentf("%d dials", b.net.dialed(hostA.Address)))
	})
}

func TestCallInFlightSurvivesReplacement(t *testing.T) {
	run(t, nil, func(b *fixture) {
		client, _ := b.pool.Client("a")
		ctx, cancel := context.WithCancel(context.Background())
		_, err := client.Call(ctx, &sidepb.CallRequest{})
		b.Assert(err, qt.IsNil)
		b.pool.Suspect("a")
		time.Sleep(time.Minute)
		old := b.net.first(hostA.Address)
		b.Assert(old.closed.Load(), qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
		b.Assert(old.closed.Load(), qt.IsTrue)
	})
}

func TestCallInFlightSurvivesLeavingTheSubset(t *testing.T) {
	var without atomic.Bool
	subset := func(v member.View) []string {
		if without.Load() {
			return []string{"b"}
		}
		return []string{"a", "b"}
	}
	run(t, subset, func(b *fixture) {
		client, _ := b.pool.Client("a")
		ctx, cancel := context.WithCancel(context.Background())
		_, err := client.Call(ctx, &sidepb.CallRequest{})
		b.Assert(err, qt.IsNil)
		without.Store(true)
		time.Sleep(time.Minute)
		old := b.net.first(hostA.Address)
		b.Assert(b.connected("a"), qt.IsFalse)
		b.Assert(b.state("a"), qt.Equals, member.Live)
		b.Assert(old.closed.Load(), qt.IsFalse)
		cancel()
		time.Sleep(time.Second)
		b.Assert(old.closed.Load(), qt.IsTrue)
		without.Store(false)
		time.Sleep(refreshInterval + publishInterval + tickInterval)
		b.Assert(b.connected("a"), qt.IsTrue)
	})
}

func TestRestartedSidecarHasANewIncarnation(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.sidecars["a"].leave()
		time.Sleep(time.Second)
		b.net.nodes[hostA.Address].Kill()
		time.Sleep(5 * time.Second)
		b.Assert(b.state("a"), qt.Equals, member.Leaving)
		b.start(hostA, "i2")
		time.Sleep(maxBackoff + time.Second)
		u, _ := b.pool.View().Upstream("a")
		b.Assert(u.State, qt.Equals, member.Live)
		b.Assert(u.Incarnation, qt.Equals, "i2")
	})
}

func TestDeadUpstreamIsSuspectAndDialsAreBounded(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.net.nodes[hostA.Address].Kill()
		time.Sleep(2 * time.Second)
		b.Assert(b.state("a"), qt.Equals, member.Suspect)
		before := b.net.dialed(hostA.Address)
		time.Sleep(100 * time.Second)
		b.Assert(b.net.dialed(hostA.Address)-before <= 16, qt.IsTrue)
	})
}

func TestFlappingWatchDoesNotSpin(t *testing.T) {
	run(t, nil, func(b *fixture) {
		b.sidecars["a"].flapping.Store(true)
		b.sidecars["a"].changed <- struct{}{}
		time.Sleep(100 * time.Second)
		b.Assert(b.net.dialed(hostA.Address) <= 16, qt.IsTrue, qt.Commentf("%d dials", b.net.dialed(hostA.Address)))
	})
}

func TestDialOverTCP(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer(ServerOptions()...)
	sidepb.RegisterSideServer(server, newSidecar("a", "i1"))
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := Dial(l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	stream, err := conn.Watch(t.Context(), &sidepb.WatchRequest{})
	c.Assert(err, qt.IsNil)
	st, err := stream.Recv()
	c.Assert(err, qt.IsNil)
	c.Assert(st.GetIncarnation(), qt.Equals, "i1")
}
