package unit

import (
	"context"
	"errors"
	"io"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

const eventBuffer = 16

type item struct {
	event upstream.Event
	err   error
}

type stream struct {
	events chan item
	life   context.Context
	cancel context.CancelFunc
	done   <-chan struct{}
	last   bool
}

// Next returns the next event.
func (s *stream) Next(ctx context.Context) (upstream.Event, error) {
	if s.last {
		return upstream.Event{}, io.EOF
	}
	select {
	case it, ok := <-s.events:
		if !ok {
			return upstream.Event{}, s.ended()
		}
		s.last = it.event.Last
		return it.event, it.err
	case <-ctx.Done():
		return upstream.Event{}, &upstream.Error{Op: "call", Cause: ctx.Err()}
	}
}

// Close stops the work.
func (s *stream) Close() error {
	s.cancel()
	return nil
}

func (s *stream) push(ctx context.Context, it item) {
	select {
	case s.events <- it:
	case <-ctx.Done():
	}
}

func (s *stream) ended() error {
	if s.life.Err() != nil {
		return broken(errors.New("process died"))
	}
	return &upstream.Error{Op: "call", Cause: io.ErrUnexpectedEOF}
}
