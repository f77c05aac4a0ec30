package inmem

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Link is an in-memory connection to the sidecar at a node; it implements the client of the side service.
type Link struct {
	node *Node
	plan Planner
}

// New returns a link to a node; plan chooses the faults of each call, and a nil plan injects zero.
func New(n *Node, plan Planner) *Link {
	if plan == nil {
		plan = func(Method) Plan { return Plan{} }
	}
	return &Link{node: n, plan: plan}
}

// Call starts one attempt over the link and returns the stream of its frames.
func (l *Link) Call(ctx context.Context, in *sidepb.CallRequest, _ ...grpc.CallOption) (
	grpc.ServerStreamingClient[sidepb.CallFrame], error) {
	p := l.plan(CallMethod)
	c := newCallStream(ctx, p)
	if p.DuplicateAfter > 0 {
		l.deliverDuplicate(proto.CloneOf(in), p)
	}
	if p.Drop {
		return c, nil
	}
	req := proto.CloneOf(in)
	go func() {
		if !pause.For(ctx, p.Delay) {
			c.finish(ctx.Err())
			return
		}
		server, serverCtx, err := l.node.current()
		if err != nil {
			c.finish(err)
			return
		}
		c.serve(serverCtx, func(s *serverStream[sidepb.CallFrame]) error { return server.Call(req, s) })
	}()
	return c, nil
}

// deliverDuplicate delivers a second copy of a request to the server that runs at the node by then.
func (l *Link) deliverDuplicate(req *sidepb.CallRequest, p Plan) {
	go func() {
		time.Sleep(p.Delay + p.DuplicateAfter)
		server, serverCtx, err := l.node.current()
		if err != nil {
			return
		}
		discard := &serverStream[sidepb.CallFrame]{ctx: serverCtx, send: func(*sidepb.CallFrame) error { return nil }}
		_ = server.Call(req, discard)
	}()
}

// Watch streams the sidecar's status over the link.
func (l *Link) Watch(ctx context.Context, in *sidepb.WatchRequest, _ ...grpc.CallOption) (
	grpc.ServerStreamingClient[sidepb.Status], error) {
	server, serverCtx, err := l.node.current()
	if err != nil {
		return nil, err
	}
	c := newStatusStream(ctx)
	go c.serve(serverCtx, func(s *serverStream[sidepb.Status]) error { return server.Watch(proto.CloneOf(in), s) })
	return c, nil
}

// Cancel stops an attempt over the link.
func (l *Link) Cancel(ctx context.Context, in *sidepb.CancelRequest, _ ...grpc.CallOption) (
	*sidepb.CancelReply, error) {
	return unary(ctx, l, CancelMethod, in, sidepb.SideServer.Cancel)
}

// Drain starts a graceful shutdown over the link.
func (l *Link) Drain(ctx context.Context, in *sidepb.DrainRequest, _ ...grpc.CallOption) (*sidepb.DrainReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Drain)
}

// Outcome asks for the state of an action over the link.
func (l *Link) Outcome(ctx context.Context, in *sidepb.OutcomeRequest, _ ...grpc.CallOption) (
	*sidepb.OutcomeReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Outcome)
}

// Settle records an operator's decision over the link.
func (l *Link) Settle(ctx context.Context, in *sidepb.SettleRequest, _ ...grpc.CallOption) (
	*sidepb.OutcomeReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Settle)
}

// Doubts lists actions in doubt over the link.
func (l *Link) Doubts(ctx context.Context, in *sidepb.DoubtsRequest, _ ...grpc.CallOption) (
	*sidepb.DoubtsReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Doubts)
}

// unaryMethod is a unary method of the side service.
type unaryMethod[Q, A any] func(sidepb.SideServer, context.Context, Q) (A, error)

// unary delivers a request and returns its reply; the plan may delay the request and lose either of them.
func unary[Q, A any](ctx context.Context, l *Link, m Method, in Q, f unaryMethod[Q, A]) (A, error) {
	var zero A
	p := l.plan(m)
	if !pause.For(ctx, p.Delay) {
		return zero, status.FromContextError(ctx.Err()).Err()
	}
	server, serverCtx, err := l.node.current()
	if err != nil {
		return zero, err
	}
	if p.Drop {
		return zero, wait(ctx, serverCtx)
	}
	done := make(chan reply[A], 1)
	go func() {
		out, err := f(server, serverCtx, in)
		done <- reply[A]{out: out, err: err}
	}()
	if p.SilentAfter > 0 {
		return zero, wait(ctx, serverCtx)
	}
	select {
	case r := <-done:
		if p.CutAfter > 0 {
			return zero, errCut
		}
		return r.out, r.err
	case <-ctx.Done():
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-serverCtx.Done():
		return zero, errCut
	}
}

type reply[A any] struct {
	out A
	err error
}

// wait blocks until the caller gives up or the server is killed, and returns the error that the caller gets.
func wait(ctx, serverCtx context.Context) error {
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-serverCtx.Done():
		return errCut
	}
}
