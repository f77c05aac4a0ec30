package node

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/entry/demand"
	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/guard"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/metrics"
	"github.com/ragworthatch/ragworthatch/internal/entry/opsapi"
	"github.com/ragworthatch/ragworthatch/internal/entry/policy"
	"github.com/ragworthatch/ragworthatch/internal/entry/query"
	"github.com/ragworthatch/ragworthatch/internal/entry/quota"
	"github.com/ragworthatch/ragworthatch/internal/entry/router"
	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
	"github.com/ragworthatch/ragworthatch/internal/state/atomval"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Options are what an entry is built from.
type Options struct {
	Name          string
	Zone          string
	Region        string
	HTTP          string   // IP:port for callers and operators
	GRPC          string   // IP:port for other processes
	Peers         []string // IP:port addresses of entries, for a start while the host list is down
	OperatorToken string   // hex SHA-256; empty leaves only the teams of operators
	Log           logs.Service
	List          hosts.List
	Weights       weight.Store // nil turns placement off
	Dial          link.Dialer
	Metrics       *metrics.Metrics // nil counts nothing
	Logger        *zap.Logger
}

// Node is one entry.
type Node struct {
	o      Options
	feed   *feed.Feed
	gossip *gossip.Node
	links  *link.Pool
	router *router.Router
	policy *policy.Policy
	quota  *quota.Quota
	demand *demand.Meter
	guard  *guard.Guard
	exec   *exec.Executor
	index  *atomval.Value[*index.Index]
	marks  *atomval.Value[*poison.Set]
	views  chan struct{} // a new view of the fleet
	leave  chan struct{} // closed by an operator's drain
	once   sync.Once
	warm   atomic.Bool // connections to the pools are up
	// began, of the control goroutine, is when the first view of the fleet came.
	began time.Time
	// entries, of the control goroutine, is how many entries share the teams' limits.
	entries int
	http    *listen.Server
	peers   *grpc.Server
	peersLn net.Listener
}

// New builds an entry and listens; Run starts it.
func New(o Options) (*Node, error) {
	n := &Node{
		o:     o,
		feed:  feed.New(o.Log, feed.Options{Author: o.Name}, o.Logger),
		quota: quota.New(),

		demand: demand.New(),
		index:  atomval.New(&index.Index{}),
		marks:  atomval.New(poison.New(poison.Options{})),
		views:  make(chan struct{}, 1),
		leave:  make(chan struct{}),
	}
	links, err := link.New(link.Options{
		Entry:  o.Name,
		Hosts:  o.List,
		Dial:   o.Dial,
		Subset: n.subset,
		Offset: func() int64 { return n.feed.Current().Offset() },
		OnView: func(member.View) { n.poke() },
		OnStatus: func(name string, st *sidepb.Status) {
			n.router.UpdateCache(name, st.GetCached(), st.GetEvicted())
			n.heard(name, st)
		},
		Log: o.Logger,
	})
	if err != nil {
		return nil, err
	}
	n.links = links
	if n.gossip, err = gossip.New(n.gossipOptions()); err != nil {
		return nil, err
	}
	n.router = router.New(router.Options{Zone: o.Zone, Links: links, Rand: newRand(), Log: o.Logger, Now: time.Now})
	n.policy = policy.New(newRand(), time.Now, o.Logger)
	n.exec = exec.New(n.router, n.policy, n, o.Logger)
	n.guard = guard.New(guard.Options{
		Ready: n.ready,
		Marks: n.marks.Load,
		Limit: n.quota.Allow,
		Admit: n.policy.Admit,
		Now:   time.Now,
		Log:   o.Logger,
	})
	return n, n.listen()
}

func (n *Node) listen() error {
	actions := query.New(n.index.Load, n.router)
	callers := front.New(front.Options{
		Index:    n.index.Load,
		Runner:   n.exec,
		Admitter: n.guard,
		Outcomes: actions,
		Observer: n,
		Log:      n.o.Logger,
		Now:      time.Now,
	})
	operators := opsapi.New(opsapi.Options{
		Name:        n.o.Name,
		Zone:        n.o.Zone,
		Guard:       n.guard,
		TokenDigest: n.o.OperatorToken,
		Index:       n.index.Load,
		Feed:        n.feed,
		Publisher:   publish.New(n.o.Log, n.feed, uuid.New, n.o.Logger),
		Actions:     actions,
		Links:       n.links,
		Dial:        n.o.Dial,
		Versions:    n.versions,
		Ejected:     n.router.Ejected,
		Marks:       n.marks,
		Drain:       n.startDrain,
		Log:         n.o.Logger,
	})
	server, err := listen.New(n.o.HTTP, append(callers.Routes(), operators.Routes()...))
	if err != nil {
		return err
	}
	n.http = server
	n.peers = grpc.NewServer(link.ServerOptions()...)
	peerpb.RegisterPeerServer(n.peers, n.gossip)
	n.peersLn, err = net.Listen("tcp", n.o.GRPC)
	return err
}

// Address is the IP:port of the HTTP interface.
func (n *Node) Address() string { return n.http.Addr() }

// PeerAddress is the IP:port for other processes.
func (n *Node) PeerAddress() string { return n.peersLn.Addr().String() }

// Guard is the entry's admission.
func (n *Node) Guard() *guard.Guard { return n.guard }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
