package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/state/atomval"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// meshSize is the number of gossiping processes of each role.
type meshSize struct{ entries, sides int }

// meshCost is the mean cost of gossip over TCP on loopback, with messages counted in both directions.
type meshCost struct {
	meshSize
	entryBytes float64 // bytes a second an entry, on accepted and opened connections, HTTP/2 included
	messages   float64 // messages a second an entry
	cpu        float64 // percent of a core a process, over entries and sides
	heapKB     float64 // KB of heap a process, over entries and sides
}

func (m meshCost) String() string {
	return fmt.Sprintf("gossip, %d entries and %d sides over TCP: %.0f B/s and %.2f messages/s an entry, %.3f%% of a core and %.0f KB of heap a process",
		m.entries, m.sides, m.entryBytes, m.messages, m.cpu, m.heapKB)
}

// countingListener counts the bytes that are read and written on the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes}, err
}

// countingConn counts the bytes that are read and written on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// mesh is a set of gossip nodes in this process that talk over TCP.
type mesh struct {
	log     *memlog.Log
	peers   []gossip.Peer
	nodes   []*gossip.Node
	servers []*grpc.Server
	bytes   atomic.Int64
	wg      sync.WaitGroup
}

// measureMesh runs a mesh of the given size and returns its cost, measured from 5 s after its start.
func measureMesh(size meshSize) (meshCost, error) {
	m := &mesh{log: memlog.New()}
	ctx, cancel := context.WithCancel(context.Background())
	before := heapInUse()
	listeners, err := m.listen(size.entries)
	if err != nil {
		cancel()
		return meshCost{}, err
	}
	for i, l := range listeners {
		if err := m.start(ctx, gossip.Entry, m.peers[i].Name, m.peers[i].Zone, l); err != nil {
			cancel()
			return meshCost{}, err
		}
	}
	for i := range size.sides {
		if err := m.start(ctx, gossip.Sidecar, fmt.Sprintf("side%03d", i), zone(i), nil); err != nil {
			cancel()
			return meshCost{}, err
		}
	}
	time.Sleep(5 * time.Second)
	cost := m.measure(size, before)
	cancel()
	for _, s := range m.servers {
		s.Stop()
	}
	m.wg.Wait()
	return cost, nil
}

// zone returns the zone of host number i, one of eight.
func zone(i int) string { return fmt.Sprint("z", i%8) }

// listen opens a listener for each entry and makes the entries the peers of all nodes.
func (m *mesh) listen(entries int) ([]net.Listener, error) {
	var out []net.Listener
	for i := range entries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		out = append(out, countingListener{l, &m.bytes})
		m.peers = append(m.peers, gossip.Peer{Name: fmt.Sprintf("entry%03d", i), Address: l.Addr().String(), Zone: zone(i)})
	}
	return out, nil
}

// start runs a node; only entries have a listener.
func (m *mesh) start(ctx context.Context, role gossip.Role, name, zone string, l net.Listener) error {
	f := feed.New(m.log, feed.Options{Author: name}, zap.NewNop())
	node, err := gossip.New(gossip.Options{
		Name: name, Role: role, Zone: zone, Feed: f, Marks: atomval.New(poison.New(poison.Options{})),
		Peers: func() []gossip.Peer { return m.peers },
		Dial:  gossip.Dial,
		Rand:  rand.New(rand.NewPCG(uint64(len(m.nodes)), 1)),
		Log:   zap.NewNop(),
	})
	if err != nil {
		return err
	}
	m.nodes = append(m.nodes, node)
	if l != nil {
		server := grpc.NewServer(link.ServerOptions()...)
		peerpb.RegisterPeerServer(server, node)
		m.servers = append(m.servers, server)
		m.wg.Go(func() { _ = server.Serve(l) })
	}
	m.wg.Go(func() { _ = f.Run(ctx) })
	m.wg.Go(func() { _ = node.Run(ctx) })
	return nil
}

// messages returns the number of messages that the entries have sent and received.
func (m *mesh) messages(entries int) float64 {
	var n int64
	for _, node := range m.nodes[:entries] {
		s := node.Stats()
		n += s.SentMessages + s.ReceivedMessages
	}
	return float64(n)
}

// measure returns the cost of the running mesh over meshDuration.
func (m *mesh) measure(size meshSize, heapBefore uint64) meshCost {
	bytes, messages, cpu := m.bytes.Load(), m.messages(size.entries), cpuTime()
	time.Sleep(meshDuration)
	seconds := meshDuration.Seconds()
	processes := float64(size.entries + size.sides)
	// Bytes are counted only at the accepting end. A connection between entries costs both of them, one from a side
	// costs one entry.
	acceptedRate := float64(m.bytes.Load()-bytes) / seconds / float64(size.entries)
	fromSides := sideFraction(m, size)
	return meshCost{
		meshSize:   size,
		entryBytes: acceptedRate + (1-fromSides)*acceptedRate,
		messages:   (m.messages(size.entries) - messages) / seconds / float64(size.entries),
		cpu:        100 * (cpuTime() - cpu).Seconds() / seconds / processes,
		heapKB:     float64(heapInUse()-heapBefore) / 1024 / processes,
	}
}

// sideFraction returns the share of the traffic of the entries that is with sides, from 0 to 1.
func sideFraction(m *mesh, size meshSize) float64 {
	var sides, all float64
	for i, node := range m.nodes {
		s := node.Stats()
		if i < size.entries {
			all += float64(s.ReceivedBytes + s.SentBytes)
		} else {
			sides += float64(s.ReceivedBytes + s.SentBytes)
		}
	}
	// Traffic between entries is counted at both ends.
	return sides / (sides + (all-sides)/2)
}

// heapInUse returns the bytes of heap and stacks after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// cpuTime returns the CPU time of this process; zero if it can't be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
