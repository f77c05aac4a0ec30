package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/guard"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/job"
	"github.com/ragworthatch/ragworthatch/internal/entry/policy"
	"github.com/ragworthatch/ragworthatch/internal/entry/query"
	"github.com/ragworthatch/ragworthatch/internal/entry/router"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/fleet/mark"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/oper/listen"
	"github.com/ragworthatch/ragworthatch/internal/plat/hosts"
	"github.com/ragworthatch/ragworthatch/internal/plat/logs"
	"github.com/ragworthatch/ragworthatch/internal/route/pick"
	"github.com/ragworthatch/ragworthatch/internal/state/cell"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
)

// Options are what an entry is built from.
type Options struct {
	Name string
	Zone string
	HTTP string // IP:port for callers and operators
	Log  logs.Service
	List hosts.List
	Dial link.Dialer
	Zap  *zap.Logger
}

// Node is one entry.
type Node struct {
	o      Options
	feed   *feed.Feed
	links  *link.Pool
	router *router.Router
	guard  *guard.Guard
	exec   *exec.Executor
	index  *cell.Cell[*index.Index]
	marks  *cell.Cell[*mark.Set]
	views  chan struct{} // a new view of the fleet
	http   *listen.Server
}

// New builds an entry and listens; Run starts it.
func New(o Options) (*Node, error) {
	n := &Node{
		o:     o,
		feed:  feed.New(o.Log, feed.Options{Author: o.Name}, o.Zap),
		index: cell.New(&index.Index{}),
		marks: cell.New(mark.New(mark.Options{})),
		views: make(chan struct{}, 1),
	}
	links, err := link.New(link.Options{
		Entry:  o.Name,
		Hosts:  o.List,
		Dial:   o.Dial,
		Offset: func() int64 { return n.feed.Current().Offset() },
		OnView: func(member.View) { n.poke() },
		Log:    o.Zap,
	})
	if err != nil {
		return nil, err
	}
	n.links = links
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.router = router.New(router.Options{
		Zone:   o.Zone,
		Links:  links,
		Picker: pick.New(rng, pick.Options{}),
		Log:    o.Zap,
		Now:    time.Now,
	})
	n.exec = exec.New(n.router, policy.New(), n, o.Zap)
	n.guard = guard.New(guard.Options{
		Ready: n.ready,
		Marks: n.marks.Load,
		Limit: func(job.Request, time.Time) *fault.Error { return nil },
		Fits:  func(job.Request, time.Time) *fault.Error { return nil },
		Now:   time.Now,
		Log:   o.Zap,
	})
	return n, n.listen()
}

func (n *Node) listen() error {
	f := front.New(front.Options{
		Index:    n.index.Load,
		Runner:   &runner{n},
		Admitter: n.guard,
		Outcomes: query.New(n.index.Load, n.router),
		Watcher:  n,
		Log:      n.o.Zap,
		Now:      time.Now,
	})
	server, err := listen.New(n.o.HTTP, f.Routes())
	n.http = server
	return err
}

// Address is the IP:port of the HTTP interface.
func (n *Node) Address() string { return n.http.Addr() }

// Guard is the entry's admission.
func (n *Node) Guard() *guard.Guard { return n.guard }

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { n.feed.Run(ctx); return nil })
	g.Go(func() error { return n.links.Run(ctx) })
	g.Go(func() error { n.control(ctx); return nil })
	g.Go(n.http.Serve)
	g.Go(func() error { <-ctx.Done(); return n.http.Close() })
	return g.Wait()
}

// Drain refuses new requests and waits for those in flight, or for ctx.
func (n *Node) Drain(ctx context.Context) error {
	select {
	case <-n.guard.Drain():
		return n.http.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run implements front.Runner; a request that ran alone to its end is no longer suspect.
func (r *runner) Run(ctx context.Context, req job.Request, sink exec.Sink) (exec.Answer, *exec.Failure) {
	ans, fail := r.n.exec.Run(ctx, req, sink)
	if req.Alone && fail == nil {
		r.n.marks.Update(func(s *mark.Set) *mark.Set { return s.WithCompletion(time.Now(), req.Fingerprint) })
	}
	return ans, fail
}

type runner struct{ n *Node }
