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
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
	"github.com/ragworthatch/ragworthatch/internal/state/atomval"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Options are the settings and dependencies of an entry.
type Options struct {
	Name          string
	Zone          string
	Region        string
	HTTP          string   // IP:port for callers and operators
	GRPC          string   // IP:port for other processes
	Peers         []string // IP:port addresses of entries, to start with while the host list is down
	OperatorToken string   // hex SHA-256 of an extra operator token; empty allows only teams of operators
	Log           logs.Service
	List          hosts.List
	Weights       weight.Store // nil disables placement
	Dial          link.Dialer
	Metrics       *metrics.Metrics // nil disables metrics
	Limits        intake.Limits    // of clients; a zero field has its default
	MemoryBytes   int64            // that the process may use; 0 for no bound
	Logger        *zap.Logger
}

// Node is one entry.
type Node struct {
	opts           Options
	feed           *feed.Feed
	gossip         *gossip.Node
	links          *link.Pool
	router         *router.Router
	policy         *policy.Policy
	quota          *quota.Quota
	demand         *demand.Meter
	guard          *guard.Guard
	exec           *exec.Executor
	index          *atomval.Value[*index.Index]
	marks          *atomval.Value[*poison.Set]
	viewChanged    chan struct{} // signals a new view of the fleet
	drainRequested chan struct{} // closed when an operator drains the entry
	drainOnce      sync.Once
	warmedUp       atomic.Bool // see warmUp
	// firstViewAt is when the first view of the fleet arrived; only the control goroutine uses it.
	firstViewAt time.Time
	// entries is the number of entries that share the teams' limits; only the control goroutine uses it.
	entries int
	memory  *memory.Budget // nil if MemoryBytes is 0
	intake  *intake.Intake
	http    *listen.Server
	peers   *grpc.Server
	peersLn net.Listener
}

// New builds an entry and listens on its addresses; Run starts it.
func New(o Options) (*Node, error) {
	n := &Node{
		opts:  o,
		feed:  feed.New(o.Log, feed.Options{Author: o.Name}, o.Logger),
		quota: quota.New(),

		demand:         demand.New(),
		index:          atomval.New(&index.Index{}),
		marks:          atomval.New(poison.New(poison.Options{})),
		viewChanged:    make(chan struct{}, 1),
		drainRequested: make(chan struct{}),
	}
	links, err := link.New(link.Options{
		Entry:  o.Name,
		Hosts:  o.List,
		Dial:   o.Dial,
		Subset: n.subset,
		Offset: func() int64 { return n.feed.Current().Offset() },
		OnView: func(member.View) { n.notifyView() },
		OnStatus: func(name string, st *sidepb.Status) {
			n.router.UpdateCache(name, st.GetCached(), st.GetEvicted())
			n.recordStatus(name, st)
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

// listen builds the HTTP and gRPC servers and listens on their addresses.
func (n *Node) listen() error {
	actions := query.New(n.index.Load, n.router)
	n.boundMemory()
	callers := front.New(front.Options{
		Intake:   n.intake,
		Index:    n.index.Load,
		Runner:   n.exec,
		Admitter: n.guard,
		Outcomes: actions,
		Observer: n,
		Log:      n.opts.Logger,
		Now:      time.Now,
	})
	operators := opsapi.New(opsapi.Options{
		Name:        n.opts.Name,
		Zone:        n.opts.Zone,
		Guard:       n.guard,
		TokenDigest: n.opts.OperatorToken,
		Index:       n.index.Load,
		Feed:        n.feed,
		Publisher:   publish.New(n.opts.Log, n.feed, uuid.New, n.opts.Logger),
		Actions:     actions,
		Links:       n.links,
		Dial:        n.opts.Dial,
		Versions:    n.versions,
		Ejected:     n.router.Ejected,
		Marks:       n.marks,
		Drain:       n.startDrain,
		Log:         n.opts.Logger,
	})
	receiveBytes := 0
	if n.memory != nil {
		receiveBytes = intake.ReceiveBufferBytes
	}
	server, err := listen.NewBounded(n.opts.HTTP, append(callers.Routes(), operators.Routes()...), n.intake, receiveBytes)
	if err != nil {
		return err
	}
	n.http = server
	n.peers = grpc.NewServer(link.ServerOptions()...)
	peerpb.RegisterPeerServer(n.peers, n.gossip)
	n.peersLn, err = net.Listen("tcp", n.opts.GRPC)
	return err
}

// Address returns the IP:port of the HTTP interface.
func (n *Node) Address() string { return n.http.Addr() }

// PeerAddress returns the IP:port for other processes.
func (n *Node) PeerAddress() string { return n.peersLn.Addr().String() }

// Guard returns the guard that admits the entry's requests.
func (n *Node) Guard() *guard.Guard { return n.guard }

// newRand returns a randomly seeded generator.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
