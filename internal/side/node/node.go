package node

import (
	"context"
	"net"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/side/serve"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Options are what a side is built from.
type Options struct {
	GRPC  string // IP:port for entries
	Serve serve.Options
	Zap   *zap.Logger
}

// Node is one side.
type Node struct {
	o      Options
	server *serve.Server
	grpc   *grpc.Server
	ln     net.Listener
}

// New builds a side and listens; Run starts it.
func New(o Options) (*Node, error) {
	server, err := serve.New(o.Serve)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", o.GRPC)
	if err != nil {
		return nil, err
	}
	g := grpc.NewServer(link.ServerOptions()...)
	sidepb.RegisterSideServer(g, server)
	return &Node{o: o, server: server, grpc: g, ln: ln}, nil
}

// Address is the IP:port that entries connect to.
func (n *Node) Address() string { return n.ln.Addr().String() }

// Run serves until ctx ends, cutting what is in flight, or until a drain is done.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	ctx, stop := context.WithCancel(ctx)
	g.Go(func() error { n.server.Run(ctx); return nil })
	g.Go(func() error { defer stop(); return n.grpc.Serve(n.ln) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.server.Drained():
		}
		n.grpc.Stop()
		return nil
	})
	return g.Wait()
}

// Drain refuses new work and lets the work in flight finish; Run then returns.
func (n *Node) Drain(author, reason string) {
	_, _ = n.server.Drain(context.Background(), &sidepb.DrainRequest{Author: author, Reason: reason}) // never fails
}
