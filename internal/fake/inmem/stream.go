package inmem

import (
	"context"
	"errors"
	"io"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const window = 16 // frames on their way before the sender waits

var errCut = status.Error(codes.Unavailable, "connection reset")

// message is a protobuf message by pointer.
type message[T any] interface {
	*T
	proto.Message
}

// stream is the client's end of a server stream.
type stream[T any, M message[T]] struct {
	ctx    context.Context
	frames chan *T
	done   chan struct{}
	once   sync.Once
	err    error
	plan   Plan
	sent   int
	held   *T
	stray  func(*T) *T // makes a frame of another attempt
}

func newCallStream(ctx context.Context, p Plan) *stream[sidepb.CallFrame, *sidepb.CallFrame] {
	return &stream[sidepb.CallFrame, *sidepb.CallFrame]{
		ctx:    ctx,
		frames: make(chan *sidepb.CallFrame, window),
		done:   make(chan struct{}),
		plan:   p,
		stray:  misdeliver,
	}
}

func newStatusStream(ctx context.Context) *stream[sidepb.Status, *sidepb.Status] {
	return &stream[sidepb.Status, *sidepb.Status]{
		ctx:    ctx,
		frames: make(chan *sidepb.Status, window),
		done:   make(chan struct{}),
	}
}

func (c *stream[T, M]) end(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
	})
}

// serve runs a handler until it returns, the client gives up or the server dies.
func (c *stream[T, M]) serve(life context.Context, handle func(*serverStream[T]) error) {
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	if c.plan.SilentFrom == 0 {
		// The client's cancel reaches the server unless the connection is silent.
		defer context.AfterFunc(c.ctx, cancel)()
	}
	defer context.AfterFunc(life, func() { c.end(errCut) })()
	err := handle(&serverStream[T]{ctx: ctx, send: func(f *T) error { return c.push(ctx, cancel, f) }})
	if c.silent() {
		return
	}
	if c.held != nil {
		_ = c.put(ctx, c.held)
	}
	if err == nil {
		err = io.EOF
	}
	c.end(err)
}

// misdeliver returns a copy of a frame under the identity of another request.
func misdeliver(f *sidepb.CallFrame) *sidepb.CallFrame {
	c := proto.CloneOf(f)
	c.Id.RequestId += "-stray"
	c.Seq = 0
	c.Body = &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Data: []byte(`"stray"`)}}
	return c
}

func (c *stream[T, M]) silent() bool {
	return c.plan.SilentFrom > 0 && c.sent >= c.plan.SilentFrom
}

// push carries one frame; the sender waits while the window is full.
func (c *stream[T, M]) push(ctx context.Context, cancel context.CancelFunc, f *T) error {
	if c.plan.FrameDelay > 0 && !pause.For(ctx, c.plan.FrameDelay) {
		return ctx.Err()
	}
	if c.silent() {
		return nil
	}
	if c.plan.CutAfter > 0 && c.sent >= c.plan.CutAfter {
		c.end(errCut)
		cancel()
		return errCut
	}
	c.sent++
	for _, next := range c.order(f) {
		if err := c.put(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

// order returns the frames that leave now.
func (c *stream[T, M]) order(f *T) []*T {
	var out []*T
	if c.plan.Stray && c.sent == 1 && c.stray != nil {
		out = append(out, c.stray(f))
	}
	switch {
	case c.plan.Swap && c.sent == 2:
		c.held = f
		return out
	case c.plan.Swap && c.sent == 3:
		out = append(out, f, c.held)
		c.held = nil
	default:
		out = append(out, f)
	}
	if c.plan.TwiceFrame {
		out = append(out, f)
	}
	return out
}

func (c *stream[T, M]) put(ctx context.Context, f *T) error {
	var m M = f
	select {
	case c.frames <- proto.Clone(m).(M):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Recv returns the next frame.
func (c *stream[T, M]) Recv() (*T, error) {
	select {
	case f := <-c.frames:
		return f, nil
	default:
	}
	select {
	case f := <-c.frames:
		return f, nil
	case <-c.ctx.Done():
		return nil, status.FromContextError(c.ctx.Err()).Err()
	case <-c.done:
	}
	select {
	case f := <-c.frames:
		return f, nil
	default:
		return nil, c.err
	}
}

// Context returns the client's context.
func (c *stream[T, M]) Context() context.Context { return c.ctx }

// Header returns no metadata.
func (c *stream[T, M]) Header() (metadata.MD, error) { return nil, nil }

// Trailer returns no metadata.
func (c *stream[T, M]) Trailer() metadata.MD { return nil }

// CloseSend does nothing, as the request was sent whole.
func (c *stream[T, M]) CloseSend() error { return nil }

// SendMsg is not used by server streams.
func (c *stream[T, M]) SendMsg(any) error { return errUnused }

// RecvMsg is not used; see Recv.
func (c *stream[T, M]) RecvMsg(any) error { return errUnused }

var errUnused = errors.New("method is not used by typed server streams")

// serverStream is the server's end.
type serverStream[T any] struct {
	ctx  context.Context
	send func(*T) error
}

// Send hands a frame to the link.
func (s *serverStream[T]) Send(f *T) error { return s.send(f) }

// Context ends with the client's interest or the server's life.
func (s *serverStream[T]) Context() context.Context { return s.ctx }

// SetHeader ignores metadata.
func (s *serverStream[T]) SetHeader(metadata.MD) error { return nil }

// SendHeader ignores metadata.
func (s *serverStream[T]) SendHeader(metadata.MD) error { return nil }

// SetTrailer ignores metadata.
func (s *serverStream[T]) SetTrailer(metadata.MD) {}

// SendMsg is not used; see Send.
func (s *serverStream[T]) SendMsg(any) error { return errUnused }

// RecvMsg is not used by server streams.
func (s *serverStream[T]) RecvMsg(any) error { return errUnused }
