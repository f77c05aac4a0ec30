package inmem

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Node is the address of a sidecar; at most one server runs there at a time.
type Node struct {
	mu        sync.Mutex
	server    sidepb.SideServer
	serverCtx context.Context
	cancel    context.CancelFunc
}

// NewNode returns an address where nothing listens.
func NewNode() *Node { return &Node{} }

// Start runs a server at the address; a previous one must have been killed.
func (n *Node) Start(s sidepb.SideServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = s
	n.serverCtx, n.cancel = context.WithCancel(context.Background())
}

// Kill breaks all connections to the server and frees the address.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return
	}
	n.cancel()
	n.server = nil
}

// current returns the running server and a context that is canceled when the server is killed; without a server
// the error is Unavailable.
func (n *Node) current() (sidepb.SideServer, context.Context, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return nil, nil, status.Error(codes.Unavailable, "connection refused")
	}
	return n.server, n.serverCtx, nil
}
