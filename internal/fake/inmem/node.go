package inmem

import (
	"context"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Node is the address of a side; at most one server process lives there at a time.
type Node struct {
	mu     sync.Mutex
	server sidepb.SideServer
	life   context.Context
	kill   context.CancelFunc
}

// NewNode returns an address where nothing listens.
func NewNode() *Node { return &Node{} }

// Start puts a server at the address; it replaces one that was killed.
func (n *Node) Start(s sidepb.SideServer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = s
	n.life, n.kill = context.WithCancel(context.Background())
}

// Kill breaks all connections to the server and frees the address.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return
	}
	n.kill()
	n.server = nil
}

// seat returns the server and the context that ends with it.
func (n *Node) seat() (sidepb.SideServer, context.Context, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return nil, nil, status.Error(codes.Unavailable, "connection refused")
	}
	return n.server, n.life, nil
}
