package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

// fixedServer answers each request with reply.
type fixedServer struct {
	peerpb.UnimplementedPeerServer
	reply *peerpb.GossipReply
}

func (e *fixedServer) Gossip(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return e.reply, nil
}

// The overhead of the transport per exchange stays within the allowance that slope_test.go assumes.
func TestFramingStaysWithinAllowance(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &countingListener{Listener: inner}
	server := grpc.NewServer(link.ServerOptions()...)
	reply := &peerpb.GossipReply{Offset: 12, Digest: "0123456789abcdef"}
	peerpb.RegisterPeerServer(server, &fixedServer{reply: reply})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := Dial(inner.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	req := &peerpb.GossipRequest{From: "entry-001", Role: "entry", Zone: "z1", Offset: 12, Digest: "0123456789abcdef"}
	_, err = conn.Gossip(t.Context(), req)
	c.Assert(err, qt.IsNil)
	const exchanges = 200
	before := l.bytes.Load()
	for range exchanges {
		_, err = conn.Gossip(t.Context(), req)
		c.Assert(err, qt.IsNil)
	}
	payload := int64(proto.Size(req) + proto.Size(reply))
	perExchange := (l.bytes.Load()-before)/exchanges - payload
	t.Logf("framing over TCP: %d bytes an exchange beside %d bytes of messages", perExchange, payload)
	c.Assert(perExchange+packetsPerExchange*packetBytes <= 2*frameBytes, qt.IsTrue)
}
