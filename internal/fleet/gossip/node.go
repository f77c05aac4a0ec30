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
	// maxExchanges bounds the calls of peers at one time.
	maxExchanges = 8
	// hotFanout is how many neighbours are told at once of something new.
	hotFanout = 4
	// markInterval is how often the marks are looked at for something new.
	markInterval = 200 * time.Millisecond
	// entriesPerInterval and sidesEntriesPerInterval are the numbers of entries at which an entry, and a side, has doubled its
	// interval: news travels on its own, and what is left costs each process less the more of them there are.
	entriesPerInterval      = 360
	sidesEntriesPerInterval = 120
)

// Node takes part in the gossip; an entry also serves peerpb.PeerServer.
type Node struct {
	peerpb.UnimplementedPeerServer
	o        Options
	chooser  chooser
	conns    conns
	census   *census
	rumors   *rumors
	counters counters
	snapshot cachedSnapshot
	pulls    chan string   // names of peers that hold a newer state
	pokes    chan struct{} // asks for a round now
	news     chan struct{} // tells that a peer's marks were new
	slots    chan struct{}
	calls    sync.WaitGroup

	// The fields below belong to the loop of Run.
	known      []Peer
	neighbours []Peer

	whyMu sync.Mutex
	why   string
}

// New returns a node; Run starts its rounds.
func New(o Options) (*Node, error) {
	o, err := o.checked()
	if err != nil {
		return nil, err
	}
	return &Node{
		o:       o,
		chooser: chooser{self: o.Name, role: o.Role, zone: o.Zone, rng: o.Rand},
		conns:   conns{dial: o.Dial, open: map[string]Conn{}},
		census:  newCensus(),
		rumors:  newRumors(),
		pulls:   make(chan string, maxExchanges),
		pokes:   make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxExchanges),
	}, nil
}

// NotifyOffset tells of a configuration offset that another process holds; if it is newer than the own, a peer is asked now.
func (n *Node) NotifyOffset(offset int64) {
	if offset > n.o.Feed.Current().Offset() {
		n.poke()
	}
}

func (n *Node) poke() { signal(n.pokes) }

// signal leaves one signal in the channel, if there is none yet.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// RecordVersion notes what another process said of its configuration, on a watch for instance.
func (n *Node) RecordVersion(v Version) { n.census.heard(v) }

// Versions returns what is known of the configuration of each process, this one included, sorted by process.
func (n *Node) Versions(now time.Time) []Version {
	n.census.heard(n.version(now))
	return n.census.list(now)
}

func (n *Node) version(now time.Time) Version {
	s := n.o.Feed.Current()
	return Version{Process: n.o.Name, Role: n.o.Role, Zone: n.o.Zone, Offset: s.Offset(), Digest: s.Digest(), Seen: now}
}

// NotReadyReason says what stands in the way of the first configuration; empty when nothing does.
func (n *Node) NotReadyReason() string {
	n.whyMu.Lock()
	defer n.whyMu.Unlock()
	return n.why
}

func (n *Node) setWhy(why string) {
	n.whyMu.Lock()
	defer n.whyMu.Unlock()
	if why != n.why && why != "" {
		n.o.Log.Warn("no configuration from peers", zap.String("cause", why))
	}
	n.why = why
}

// Run gossips until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	defer n.conns.keep(nil)
	defer n.calls.Wait()
	round := time.NewTimer(n.jittered())
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
			round.Reset(n.jittered())
		case <-n.pokes:
			n.round(ctx)
		case <-changed:
			changed = n.o.Feed.Changed()
			n.spreadNews(ctx)
		case <-marks.C:
			n.spreadMarks(ctx)
		case <-n.news:
			n.spreadMarks(ctx)
		case name := <-n.pulls:
			n.pull(ctx, name)
		}
	}
}

// jittered spreads the rounds of the processes over time.
func (n *Node) jittered() time.Duration {
	per := entriesPerInterval
	if n.o.Role == Sidecar {
		per = sidesEntriesPerInterval
	}
	interval := n.o.Interval + n.o.Interval*time.Duration(len(n.o.Peers()))/time.Duration(per)
	return interval*3/4 + time.Duration(n.o.Rand.Int64N(int64(interval)/2))
}

// round asks one neighbour, or several while there is no configuration yet.
func (n *Node) round(ctx context.Context) {
	peers, neighbours := n.around()
	if n.o.Feed.Ready() != nil {
		asked := n.chooser.spread(peers, bootstrapPeers)
		n.start(func() { n.bootstrap(ctx, asked) })
		return
	}
	n.setWhy("")
	n.rumors.sizeFor(len(peers))
	n.conns.keep(neighbours)
	if p, ok := n.chooser.next(neighbours); ok {
		n.start(func() { n.exchange(ctx, p) })
	}
}

// around returns the entries known and the neighbours among them; when the entries change, it chooses the neighbours anew
// and tells the feed whether this process polls the log.
func (n *Node) around() (peers, neighbours []Peer) {
	peers = n.o.Peers()
	if n.known == nil || !slices.Equal(peers, n.known) {
		n.known = slices.Clone(peers)
		n.neighbours = n.chooser.neighbours(peers)
		n.o.Feed.SetReader(n.o.Role == Entry && IsReader(n.o.Name, n.o.Zone, peers))
	}
	return peers, n.neighbours
}

// spreadNews tells a few neighbours at once; a side has nobody to tell.
func (n *Node) spreadNews(ctx context.Context) {
	if n.o.Role != Entry || n.o.Feed.Ready() != nil {
		return
	}
	_, neighbours := n.around()
	for _, p := range n.chooser.few(neighbours, hotFanout) {
		n.start(func() { n.exchange(ctx, p) })
	}
}

func (n *Node) spreadMarks(ctx context.Context) {
	if n.rumors.takeNews(n.o.Marks.Load()) {
		n.spreadNews(ctx)
	}
}

// pull asks the named peer, which holds a newer state.
func (n *Node) pull(ctx context.Context, name string) {
	for _, p := range n.o.Peers() {
		if p.Name == name {
			n.start(func() { n.exchange(ctx, p) })
			return
		}
	}
}

// start runs f on a goroutine of its own unless too many run; the next round makes up for it.
func (n *Node) start(f func()) {
	select {
	case n.slots <- struct{}{}:
	default:
		return
	}
	n.calls.Go(func() {
		defer func() { <-n.slots }()
		f()
	})
}

// takeMarks joins the marks of a peer with the own.
func (n *Node) takeMarks(now time.Time, marks []*peerpb.Mark) {
	if len(marks) == 0 {
		return
	}
	if _, fresh := n.o.Marks.Load().WithMarks(now, marks); len(fresh) == 0 {
		return
	}
	n.o.Marks.Update(func(s *poison.Set) *poison.Set {
		merged, _ := s.WithMarks(now, marks)
		return merged
	})
	signal(n.news)
}
