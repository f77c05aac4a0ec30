package link

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// countingConn counts the calls in flight on a connection, so that it is closed only after they end.
type countingConn struct {
	Conn
	inFlight atomic.Int64
}

// Call counts the call until its stream or its context ends.
func (c *countingConn) Call(
	ctx context.Context, in *sidepb.CallRequest, opts ...grpc.CallOption) (
	grpc.ServerStreamingClient[sidepb.CallFrame], error) {
	c.inFlight.Add(1)
	end := sync.OnceFunc(func() { c.inFlight.Add(-1) })
	stream, err := c.Conn.Call(ctx, in, opts...)
	if err != nil {
		end()
		return nil, err
	}
	stop := context.AfterFunc(ctx, end)
	return &countingStream{ServerStreamingClient: stream, end: func() { stop(); end() }}, nil
}

// countingStream is the stream of a counted call; end takes the call off the count.
type countingStream struct {
	grpc.ServerStreamingClient[sidepb.CallFrame]
	end func()
}

// Recv returns the next frame and ends the count when the stream ends.
func (s *countingStream) Recv() (*sidepb.CallFrame, error) {
	f, err := s.ServerStreamingClient.Recv()
	if err != nil {
		s.end()
	}
	return f, err
}
