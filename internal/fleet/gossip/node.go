package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// maxExchanges limits the concurrent calls to peers.
	maxExchanges = 8
	// pushFanout is how many neighbours a change is pushed to at once.
	pushFanout = 4
	// markInterval is how often the marks are checked for changes.
	markInterval = 200 * time.Millisecond
	// entriesPerInterval and sidecarEntriesPerInterval are the numbers of entries at which the interval of an entry, and
	// of a sidecar, has doubled. Changes are pushed at once, so rounds may be rarer the larger the fleet is, which
	// lowers the cost for each process.
	entriesPerInterval        = 360
	sidecarEntriesPerInterval = 120
)

// Node takes part in gossip; an entry also serves peerpb.PeerServer.
type Node struct {
	peerpb.UnimplementedPeerServer
	o             Options
	selector      peerSelector
	conns         conns
	versions      *versionTable
	rumors        *rumors
	counters      counters
	snapshot      cachedSnapshot
	pullRequests  chan string    // names of peers that hold a newer state
	roundTriggers chan struct{}  // starts a round at once
	newMarks      chan struct{}  // marks received from a peer were new
	exchangeSlots chan struct{}  // one element for each running exchange
	calls         sync.WaitGroup // running exchanges

	// The fields below are used only by the loop of Run.
	knownPeers []Peer // entries from which neighbours was selected
	neighbours []Peer

	reasonMu       sync.Mutex
	notReadyReason string
}

// New returns a node; Run starts its rounds.
func New(o Options) (*Node, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Node{
		o:             o,
		selector:      peerSelector{self: o.Name, role: o.Role, zone: o.Zone, rng: o.Rand},
		conns:         conns{dial: o.Dial, open: map[string]Conn{}},
		versions:      newVersionTable(),
		rumors:        newRumors(),
		pullRequests:  make(chan string, maxExchanges),
		roundTriggers: make(chan struct{}, 1),
		newMarks:      make(chan struct{}, 1),
		exchangeSlots: make(chan struct{}, maxExchanges),
	}, nil
}

// NotifyOffset reports a configuration offset that another process holds; if it is newer than that of
// this process, a round starts at once.
func (n *Node) NotifyOffset(offset int64) {
	if offset > n.o.Feed.Current().Offset() {
		n.triggerRound()
	}
}

// triggerRound makes Run start a round at once.
func (n *Node) triggerRound() { signal(n.roundTriggers) }

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// RecordVersion records the configuration that another process reported, for instance in a status.
func (n *Node) RecordVersion(v Version) { n.versions.record(v) }

// Versions returns the last known configuration version of each process, including this one, sorted by process.
func (n *Node) Versions(now time.Time) []Version {
	n.versions.record(n.version(now))
	return n.versions.list(now)
}

// version returns the configuration version of this process.
func (n *Node) version(now time.Time) Version {
	s := n.o.Feed.Current()
	return Version{Process: n.o.Name, Role: n.o.Role, Zone: n.o.Zone, Offset: s.Offset(), Digest: s.Digest(), Seen: now}
}

// NotReadyReason returns why there is no first configuration yet, empty if there is one.
func (n *Node) NotReadyReason() string {
	n.reasonMu.Lock()
	defer n.reasonMu.Unlock()
	return n.notReadyReason
}

// setNotReadyReason sets the reason that NotReadyReason returns, and logs a new one.
func (n *Node) setNotReadyReason(reason string) {
	n.reasonMu.Lock()
	defer n.reasonMu.Unlock()
	if reason != n.notReadyReason && reason != "" {
		n.o.Log.Warn("no configuration from peers", zap.String("cause", reason))
	}
	n.notReadyReason = reason
}

// Run gossips until ctx ends; it always returns nil.
func (n *Node) Run(ctx context.Context) error {
	defer n.conns.retain(nil)
	defer n.calls.Wait()
	round := time.NewTimer(n.roundInterval())
	defer round.Stop()
	marks := time.NewTicker(markInterval)
	defer marks.Stop()
	changed := n.o.Feed.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-round.C:
			n.round(ctx)
			round.Reset(n.roundInterval())
		case <-n.roundTriggers:
			n.round(ctx)
		case <-changed:
			changed = n.o.Feed.Changed()
			n.push(ctx)
		case <-marks.C:
			n.pushMarks(ctx)
		case <-n.newMarks:
			n.pushMarks(ctx)
		case name := <-n.pullRequests:
			n.pull(ctx, name)
		}
	}
}

// roundInterval returns the jittered time until the next round.
func (n *Node) roundInterval() time.Duration {
	entries := entriesPerInterval
	if n.o.Role == Sidecar {
		entries = sidecarEntriesPerInterval
	}
	interval := n.o.Interval + n.o.Interval*time.Duration(len(n.o.Peers()))/time.Duration(entries)
	return interval*3/4 + time.Duration(n.o.Rand.Int64N(int64(interval)/2))
}

// round starts an exchange with one neighbour, or polls several peers while there is no configuration yet.
func (n *Node) round(ctx context.Context) {
	peers, neighbours := n.refreshNeighbours()
	if n.o.Feed.Ready() != nil {
		asked := n.selector.sampleZones(peers, bootstrapPeers)
		n.startExchange(func() { n.bootstrap(ctx, asked) })
		return
	}
	n.setNotReadyReason("")
	n.rumors.setPeerCount(len(peers))
	n.conns.retain(neighbours)
	if p, ok := n.selector.pick(neighbours); ok {
		n.startExchange(func() { n.exchange(ctx, p) })
	}
}

// refreshNeighbours returns the known entries and the neighbours among them. When the entries change, it selects new
// neighbours and tells the feed whether this process reads the log.
func (n *Node) refreshNeighbours() (peers, neighbours []Peer) {
	peers = n.o.Peers()
	if n.knownPeers == nil || !slices.Equal(peers, n.knownPeers) {
		n.knownPeers = slices.Clone(peers)
		n.neighbours = n.selector.neighbours(peers)
		n.o.Feed.SetReader(n.o.Role == Entry && IsReader(n.o.Name, n.o.Zone, peers))
	}
	return peers, n.neighbours
}

// push starts exchanges with a few neighbours to spread a change; sidecars have nobody to push to.
func (n *Node) push(ctx context.Context) {
	if n.o.Role != Entry || n.o.Feed.Ready() != nil {
		return
	}
	_, neighbours := n.refreshNeighbours()
	for _, p := range n.selector.sample(neighbours, pushFanout) {
		n.startExchange(func() { n.exchange(ctx, p) })
	}
}

// pushMarks pushes if any marks have changed.
func (n *Node) pushMarks(ctx context.Context) {
	if n.rumors.takeChanged(n.o.Marks.Load()) {
		n.push(ctx)
	}
}

// pull starts an exchange with the named peer, which holds a newer state.
func (n *Node) pull(ctx context.Context, name string) {
	for _, p := range n.o.Peers() {
		if p.Name == name {
			n.startExchange(func() { n.exchange(ctx, p) })
			return
		}
	}
}

// startExchange runs f in a goroutine, or drops it if too many exchanges are running; the next round makes up for that.
func (n *Node) startExchange(f func()) {
	select {
	case n.exchangeSlots <- struct{}{}:
	default:
		return
	}
	n.calls.Go(func() {
		defer func() { <-n.exchangeSlots }()
		f()
	})
}

// mergeMarks merges the marks of a peer into those of this process; if any is new, they are pushed on.
func (n *Node) mergeMarks(now time.Time, marks []*peerpb.Mark) {
	if len(marks) == 0 {
		return
	}
	if _, changed := n.o.Marks.Load().WithMarks(now, marks); len(changed) == 0 {
		return
	}
	n.o.Marks.Update(func(s *poison.Set) *poison.Set {
		merged, _ := s.WithMarks(now, marks)
		return merged
	})
	signal(n.newMarks)
}
