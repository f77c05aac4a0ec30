package base

import (
	"context"
	"errors"
	"io"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const eventBuffer = 16 // events in flight before the work blocks

// item is an event, or the error in its place.
type item struct {
	event upstream.Event
	err   error
}

// stream is the answer to one call.
type stream struct {
	events  chan item
	procCtx context.Context
	cancel  context.CancelFunc
	done    <-chan struct{}
	last    bool // the last event was returned
}

// Next returns the next event, io.EOF after the last one, or an error if the call broke off.
func (s *stream) Next(ctx context.Context) (upstream.Event, error) {
	if s.last {
		return upstream.Event{}, io.EOF
	}
	select {
	case it, ok := <-s.events:
		if !ok {
			return upstream.Event{}, s.endError()
		}
		s.last = it.event.Last
		return it.event, it.err
	case <-ctx.Done():
		return upstream.Event{}, &upstream.Error{Op: "call", Cause: ctx.Err()}
	}
}

// Close cancels the call.
func (s *stream) Close() error {
	s.cancel()
	return nil
}

// push sends an item to the reader, unless the call is canceled.
func (s *stream) push(ctx context.Context, it item) {
	select {
	case s.events <- it:
	case <-ctx.Done():
	}
}

// endError returns the error of a stream that ended without a last event.
func (s *stream) endError() error {
	if s.procCtx.Err() != nil {
		return crashed(errors.New("process died"))
	}
	return &upstream.Error{Op: "call", Cause: io.ErrUnexpectedEOF}
}
