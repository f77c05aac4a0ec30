package link

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Conn is a connection to a sidecar.
type Conn interface {
	sidepb.SideClient
	io.Closer
}

// Dialer opens a connection to an address without waiting for it.
type Dialer func(address string) (Conn, error)

// grpcConn is a Conn over gRPC.
type grpcConn struct {
	sidepb.SideClient
	*grpc.ClientConn
}

// Call returns a NotRun fault if no stream could be opened, as the request is sent only on an open one.
func (c grpcConn) Call(
	ctx context.Context, in *sidepb.CallRequest, opts ...grpc.CallOption) (
	grpc.ServerStreamingClient[sidepb.CallFrame], error) {
	opts = append([]grpc.CallOption{grpc.StaticMethod()}, opts...)
	stream, err := c.ClientConn.NewStream(
		ctx, &sidepb.Side_ServiceDesc.Streams[0], sidepb.Side_Call_FullMethodName, opts...)
	if err != nil {
		return nil, fault.New(fault.NotRun, fault.Transport, "no stream to the side could be opened").WithCause(err)
	}
	out := &grpc.GenericClientStream[sidepb.CallRequest, sidepb.CallFrame]{ClientStream: stream}
	if err := stream.SendMsg(in); err != nil {
		return nil, err
	}
	return out, stream.CloseSend()
}

// Close closes the connection and aborts its calls.
func (c grpcConn) Close() error { return c.ClientConn.Close() }

// Dial is the Dialer for TCP, with keepalive. It fails only on an invalid address or option: the connection is made by
// the first call.
func Dial(address string) (Conn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                timing.KeepaliveInterval,
			Timeout:             timing.KeepaliveTimeout,
			PermitWithoutStream: true,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("create a client of side %s: %w", address, err)
	}
	return grpcConn{sidepb.NewSideClient(cc), cc}, nil
}

// ServerOptions returns the options that let a server accept the keepalive of Dial and probe its clients likewise.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             timing.KeepaliveInterval / 2,
			PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    timing.KeepaliveInterval,
			Timeout: timing.KeepaliveTimeout,
		}),
	}
}

// connection is one connection with its watch; only the control goroutine uses it.
type connection struct {
	id           uint64 // names the connection in events
	conn         *countingConn
	address      string
	cancel       context.CancelFunc // ends the watch
	openedAt     time.Time
	lastStatusAt time.Time // when the last status arrived
	retiredAt    time.Time // when it was taken out of use; zero before
}

// drained reports whether a retired connection may be closed: without calls in flight after retireGrace, and in any
// case after maxRetireTime.
func (c *connection) drained(now time.Time) bool {
	return c.conn.inFlight.Load() == 0 && now.Sub(c.retiredAt) >= retireGrace || now.Sub(c.retiredAt) >= maxRetireTime
}

// close ends the watch and closes the connection, which aborts its calls.
func (c *connection) close() {
	c.cancel()
	_ = c.conn.Close()
}
