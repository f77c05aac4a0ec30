package gossip

import (
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// bufferBytes is the size of a connection's read and write buffers; messages between peers are small.
const bufferBytes = 4 << 10

// grpcConn is a Conn over gRPC.
type grpcConn struct {
	peerpb.PeerClient
	*grpc.ClientConn
}

// Close closes the connection.
func (c grpcConn) Close() error { return c.ClientConn.Close() }

// Dial is the Dialer for TCP. It fails only on an invalid address or option: the connection is made by the first call.
// Keepalive probes run while a call is in flight; the server must be configured with link.ServerOptions to permit them.
func Dial(address string) (Conn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    timing.KeepaliveInterval,
			Timeout: timing.KeepaliveTimeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("create a client of peer %s: %w", address, err)
	}
	return grpcConn{peerpb.NewPeerClient(cc), cc}, nil
}
