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

// Link is a connection to the side at a node.
type Link struct {
	node *Node
	plan Planner
}

// New returns a link to a node whose calls meet the fates that plan chooses.
func New(n *Node, plan Planner) *Link {
	if plan == nil {
		plan = func(Method) Plan { return Plan{} }
	}
	return &Link{node: n, plan: plan}
}

// Call runs one attempt over the link.
func (l *Link) Call(ctx context.Context, in *sidepb.CallRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[sidepb.CallFrame], error) {
	p := l.plan(CallMethod)
	c := newCallStream(ctx, p)
	if p.CopyAfter > 0 {
		l.deliverCopy(proto.CloneOf(in), p)
	}
	if p.Drop {
		return c, nil
	}
	req := proto.CloneOf(in)
	go func() {
		if !pause.For(ctx, p.Delay) {
			c.end(ctx.Err())
			return
		}
		server, life, err := l.node.seat()
		if err != nil {
			c.end(err)
			return
		}
		c.serve(life, func(s *serverStream[sidepb.CallFrame]) error { return server.Call(req, s) })
	}()
	return c, nil
}

// deliverCopy hands a second copy of a request to whoever lives at the node by then.
func (l *Link) deliverCopy(req *sidepb.CallRequest, p Plan) {
	go func() {
		time.Sleep(p.Delay + p.CopyAfter)
		server, life, err := l.node.seat()
		if err != nil {
			return
		}
		nowhere := &serverStream[sidepb.CallFrame]{ctx: life, send: func(*sidepb.CallFrame) error { return nil }}
		_ = server.Call(req, nowhere)
	}()
}

// Watch streams the side's status over the link.
func (l *Link) Watch(ctx context.Context, in *sidepb.WatchRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[sidepb.Status], error) {
	server, life, err := l.node.seat()
	if err != nil {
		return nil, err
	}
	c := newStatusStream(ctx)
	go c.serve(life, func(s *serverStream[sidepb.Status]) error { return server.Watch(proto.CloneOf(in), s) })
	return c, nil
}

// Cancel stops an attempt over the link.
func (l *Link) Cancel(ctx context.Context, in *sidepb.CancelRequest, _ ...grpc.CallOption) (*sidepb.CancelReply, error) {
	return unary(ctx, l, CancelMethod, in, sidepb.SideServer.Cancel)
}

// Drain starts a graceful shutdown over the link.
func (l *Link) Drain(ctx context.Context, in *sidepb.DrainRequest, _ ...grpc.CallOption) (*sidepb.DrainReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Drain)
}

// Outcome asks for the state of an action over the link.
func (l *Link) Outcome(ctx context.Context, in *sidepb.OutcomeRequest, _ ...grpc.CallOption) (*sidepb.OutcomeReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Outcome)
}

// Settle records an operator's decision over the link.
func (l *Link) Settle(ctx context.Context, in *sidepb.SettleRequest, _ ...grpc.CallOption) (*sidepb.OutcomeReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Settle)
}

// Doubts lists actions in doubt over the link.
func (l *Link) Doubts(ctx context.Context, in *sidepb.DoubtsRequest, _ ...grpc.CallOption) (*sidepb.DoubtsReply, error) {
	return unary(ctx, l, OtherMethod, in, sidepb.SideServer.Doubts)
}

type method[Q, A any] func(sidepb.SideServer, context.Context, Q) (A, error)

// unary delivers a request and its reply, either of which the plan may lose.
func unary[Q, A any](ctx context.Context, l *Link, m Method, in Q, f method[Q, A]) (A, error) {
	var none A
	p := l.plan(m)
	if !pause.For(ctx, p.Delay) {
		return none, status.FromContextError(ctx.Err()).Err()
	}
	server, life, err := l.node.seat()
	if err != nil {
		return none, err
	}
	if p.Drop {
		return none, wait(ctx, life)
	}
	done := make(chan reply[A], 1)
	go func() {
		out, err := f(server, life, in)
		done <- reply[A]{out: out, err: err}
	}()
	if p.SilentFrom > 0 {
		return none, wait(ctx, life)
	}
	select {
	case r := <-done:
		if p.CutAfter > 0 {
			return none, errCut
		}
		return r.out, r.err
	case <-ctx.Done():
		return none, status.FromContextError(ctx.Err()).Err()
	case <-life.Done():
		return none, errCut
	}
}

type reply[A any] struct {
	out A
	err error
}

// wait returns when the caller gives up or the server dies.
func wait(ctx, life context.Context) error {
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-life.Done():
		return errCut
	}
}
