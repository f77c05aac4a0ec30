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

const frameWindow = 16 // frames in flight before the sender blocks

var errCut = status.Error(codes.Unavailable, "connection reset")

// message constrains a pointer type to a protobuf message.
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
	held   *T          // second frame, delivered after the third if the plan swaps them
	stray  func(*T) *T // makes a frame of another attempt; nil if the stream has no such fault
}

func newCallStream(ctx context.Context, p Plan) *stream[sidepb.CallFrame, *sidepb.CallFrame] {
	return &stream[sidepb.CallFrame, *sidepb.CallFrame]{
		ctx:    ctx,
		frames: make(chan *sidepb.CallFrame, frameWindow),
		done:   make(chan struct{}),
		plan:   p,
		stray:  strayFrame,
	}
}

func newStatusStream(ctx context.Context) *stream[sidepb.Status, *sidepb.Status] {
	return &stream[sidepb.Status, *sidepb.Status]{
		ctx:    ctx,
		frames: make(chan *sidepb.Status, frameWindow),
		done:   make(chan struct{}),
	}
}

// finish closes the stream with an error, unless it has ended already.
func (c *stream[T, M]) finish(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
	})
}

// serve runs a handler until it returns, the client gives up or the server is killed.
func (c *stream[T, M]) serve(serverCtx context.Context, handle func(*serverStream[T]) error) {
	ctx, cancel := context.WithCancel(serverCtx)
	defer cancel()
	if c.plan.SilentAfter == 0 {
		// A cancellation by the client reaches the server unless the connection goes silent.
		defer context.AfterFunc(c.ctx, cancel)()
	}
	defer context.AfterFunc(serverCtx, func() { c.finish(errCut) })()
	err := handle(&serverStream[T]{ctx: ctx, send: func(f *T) error { return c.push(ctx, cancel, f) }})
	if c.silent() {
		return
	}
	if c.held != nil {
		_ = c.enqueue(ctx, c.held)
	}
	if err == nil {
		err = io.EOF
	}
	c.finish(err)
}

// strayFrame returns a copy of a frame with the ID of another request and its own payload.
func strayFrame(f *sidepb.CallFrame) *sidepb.CallFrame {
	c := proto.CloneOf(f)
	c.Id.RequestId += "-stray"
	c.Seq = 0
	c.Body = &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Data: []byte(`"stray"`)}}
	return c
}

// silent reports whether the plan lets no more frames through.
func (c *stream[T, M]) silent() bool {
	return c.plan.SilentAfter > 0 && c.sent >= c.plan.SilentAfter
}

// push sends one frame with the faults of the plan; it blocks while the window is full.
func (c *stream[T, M]) push(ctx context.Context, cancel context.CancelFunc, f *T) error {
	if c.plan.FrameDelay > 0 && !pause.For(ctx, c.plan.FrameDelay) {
		return ctx.Err()
	}
	if c.silent() {
		return nil
	}
	if c.plan.CutAfter > 0 && c.sent >= c.plan.CutAfter {
		c.finish(errCut)
		cancel()
		return errCut
	}
	c.sent++
	for _, next := range c.reorder(f) {
		if err := c.enqueue(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

// reorder returns the frames to deliver now: f with the strays, swaps and duplicates of the plan.
func (c *stream[T, M]) reorder(f *T) []*T {
	var out []*T
	if c.plan.StrayFrame && c.sent == 1 && c.stray != nil {
		out = append(out, c.stray(f))
	}
	switch {
	case c.plan.SwapFrames && c.sent == 2:
		c.held = f
		return out
	case c.plan.SwapFrames && c.sent == 3:
		out = append(out, f, c.held)
		c.held = nil
	default:
		out = append(out, f)
	}
	if c.plan.DuplicateFrames {
		out = append(out, f)
	}
	return out
}

// enqueue puts a copy of a frame into the window, or fails when ctx ends.
func (c *stream[T, M]) enqueue(ctx context.Context, f *T) error {
	var m M = f
	select {
	case c.frames <- proto.Clone(m).(M):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Recv returns the next frame. Frames that have arrived are returned before the error that ended the stream.
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

// serverStream is the server's end of a server stream.
type serverStream[T any] struct {
	ctx  context.Context
	send func(*T) error
}

// Send delivers a frame over the link.
func (s *serverStream[T]) Send(f *T) error { return s.send(f) }

// Context is canceled when the client gives up or the server is killed.
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
