package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/state/atomval"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// linkDelay is the one-way latency between two processes.
const linkDelay = time.Millisecond

// proc is one process with its feed, marks and gossip node.
type proc struct {
	Peer
	*Node
	role      Role
	feed      *feed.Feed
	marks     *atomval.Value[*poison.Set]
	log       *partitionedLog
	stop      context.CancelFunc
	done      sync.WaitGroup
	maxOffset int64 // highest offset seen so far
}

func (p *proc) offset() int64 { return p.feed.Current().Offset() }

// partitionedLog is the log as seen by one process, which can be cut off from it.
type partitionedLog struct {
	logs.Service
	mu    sync.Mutex
	cut   bool
	reads int
}

func (g *partitionedLog) Read(ctx context.Context, stream string, from int64, limit int) (logs.Batch, error) {
	g.mu.Lock()
	g.reads++
	cut := g.cut
	g.mu.Unlock()
	if cut {
		return logs.Batch{}, &logs.Error{Op: "read", Stream: stream, Cause: errors.New("unreachable")}
	}
	return g.Service.Read(ctx, stream, from, limit)
}

// count returns the number of reads so far.
func (g *partitionedLog) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads
}

func (g *partitionedLog) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// mesh is a set of processes with in-memory connections between them.
type mesh struct {
	*qt.C
	log   *memlog.Log
	procs []*proc

	mu         sync.Mutex
	byAddr     map[string]*proc
	partitions map[string]int // partition of each process
}

// run runs a test with an empty mesh and kills its processes at the end.
func run(t *testing.T, test func(m *mesh)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{C: qt.New(t), log: memlog.New(), byAddr: map[string]*proc{}, partitions: map[string]int{}}
		defer func() {
			for _, p := range m.procs {
				m.kill(p)
			}
		}()
		test(m)
	})
}

// add starts entries or sidecars spread over zones.
func (m *mesh) add(role Role, count, zones int) []*proc {
	var out []*proc
	for range count {
		i := len(m.procs)
		out = append(out, m.start(fmt.Sprintf("%s%d", role, i), role, fmt.Sprintf("z%d", i%zones)))
	}
	return out
}

// start starts one process; a name in use is taken over by the new process.
func (m *mesh) start(name string, role Role, zone string) *proc {
	p := &proc{
		Peer:      Peer{Name: name, Address: name + ":1", Zone: zone},
		role:      role,
		log:       &partitionedLog{Service: m.log},
		marks:     atomval.New(poison.New(poison.Options{})),
		maxOffset: -1,
	}
	seed := uint64(len(m.procs))
	p.feed = feed.New(p.log, feed.Options{Author: name, Rand: rand.New(rand.NewPCG(seed, 1))}, zap.NewNop())
	node, err := New(Options{
		Name: name, Role: role, Zone: zone, Feed: p.feed, Marks: p.marks,
		Peers: m.entries,
		Dial:  func(address string) (Conn, error) { return &memConn{m: m, from: name, to: address}, nil },
		Rand:  rand.New(rand.NewPCG(seed, 2)),
		Log:   zap.NewNop(),
	})
	m.Assert(err, qt.IsNil)
	p.Node = node
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done.Go(func() { _ = p.feed.Run(ctx) })
	p.done.Go(func() { _ = node.Run(ctx) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.procs = append(m.procs, p)
	m.byAddr[p.Address] = p
	return p
}

// kill ends a process; its name stays in the host list.
func (m *mesh) kill(p *proc) {
	m.mu.Lock()
	if m.byAddr[p.Address] == p {
		delete(m.byAddr, p.Address)
	}
	m.mu.Unlock()
	p.stop()
	p.done.Wait()
}

// entries returns the entries of the host list, which includes killed ones.
func (m *mesh) entries() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[string]bool{}
	var out []Peer
	for _, p := range m.procs {
		if p.role == Entry && !seen[p.Name] {
			seen[p.Name] = true
			out = append(out, p.Peer)
		}
	}
	return out
}

// setPartition moves a process to a partition; only processes of the same partition reach each other.
func (m *mesh) setPartition(p *proc, partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitions[p.Name] = partition
}

// lookup returns the process at address to, or an error if the process named from can't reach it.
func (m *mesh) lookup(from, to string) (*proc, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.byAddr[to]
	if p == nil || m.partitions[from] != m.partitions[p.Name] {
		return nil, status.Error(codes.Unavailable, "unreachable")
	}
	return p, nil
}

// memConn is an in-memory connection from one process to another.
type memConn struct {
	m        *mesh
	from, to string
}

func (w *memConn) Close() error { return nil }

func (w *memConn) Gossip(
	ctx context.Context, in *peerpb.GossipRequest, _ ...grpc.CallOption) (*peerpb.GossipReply, error) {
	return deliver(w, in,
		func(p *proc, r *peerpb.GossipRequest) (*peerpb.GossipReply, error) { return p.Node.Gossip(ctx, r) })
}

func (w *memConn) Fetch(
	ctx context.Context, in *peerpb.FetchRequest, _ ...grpc.CallOption) (*peerpb.FetchReply, error) {
	return deliver(w, in,
		func(p *proc, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) { return p.Node.Fetch(ctx, r) })
}

// deliver copies a message to its target and the reply back, each with linkDelay.
func deliver[Q, A proto.Message](w *memConn, in Q, call func(*proc, Q) (A, error)) (A, error) {
	var none A
	time.Sleep(linkDelay)
	p, err := w.m.lookup(w.from, w.to)
	if err != nil {
		return none, err
	}
	out, err := call(p, proto.CloneOf(in))
	if err != nil {
		return none, err
	}
	time.Sleep(linkDelay)
	return proto.CloneOf(out), nil
}

// publish publishes a preset through an entry and returns the offset at which it was accepted.
func (m *mesh) publish(p *proc, name string) int64 {
	pub := publish.New(p.log, p.feed, uuid.New, zap.NewNop())
	change := config.Change{Set: config.Objects{Presets: []preset.Spec{{Name: name}}}}
	result, err := pub.Publish(context.Background(), "maite", change)
	m.Assert(err, qt.IsNil)
	m.Assert(result.State, qt.Equals, publish.Accepted)
	return p.offset()
}

// publishElsewhere publishes through an entry that stops right after, so that only the log holds the change.
func (m *mesh) publishElsewhere(name string) int64 {
	f := feed.New(m.log, feed.Options{Author: "elsewhere"}, zap.NewNop())
	m.Assert(f.Poll(context.Background()), qt.IsNil)
	return m.publish(&proc{feed: f, log: &partitionedLog{Service: m.log}}, name)
}

// waitForOffset waits until all processes have reached an offset, and returns how long that took.
func (m *mesh) waitForOffset(procs []*proc, offset int64, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, p := range procs {
			m.Assert(p.offset() >= p.maxOffset, qt.IsTrue, qt.Commentf("%s reverted to %d", p.Name, p.offset()))
			p.maxOffset = p.offset()
			if p.maxOffset < offset {
				behind++
			}
		}
		took := time.Since(start)
		if behind == 0 {
			return took
		}
		if took >= limit {
			m.Fatalf("after %v %d processes are behind offset %d", took, behind, offset)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// assertSameDigest checks that all processes hold the same state.
func (m *mesh) assertSameDigest(procs []*proc) {
	want := procs[0].feed.Current().Digest()
	for _, p := range procs {
		m.Assert(p.feed.Current().Digest(), qt.Equals, want, qt.Commentf("%s", p.Name))
		m.Assert(p.Stats().Diverged, qt.Equals, int64(0))
	}
}
