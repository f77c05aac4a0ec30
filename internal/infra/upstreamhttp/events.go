package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

var dataPrefix = []byte("data:")

// eventStream is an answer of server-sent events.
type eventStream struct {
	*response
	lines *bufio.Scanner
	next  uint64            // index that the next event must have
	count int               // events read
	limit *io.LimitedReader // ends the answer after maxStreamBytes
}

// newEventStream returns the stream of an answer's events, which start after the tokens that the call continues from.
func newEventStream(r *response) *eventStream {
	limit := &io.LimitedReader{R: &progressReader{source: r.resp.Body, timer: r.timer}, N: maxStreamBytes}
	lines := bufio.NewScanner(limit)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &eventStream{response: r, lines: lines, next: uint64(len(r.call.Held)), limit: limit}
}

// Next returns the next event, each index once and in order; after the last one it returns io.EOF.
func (s *eventStream) Next(ctx context.Context) (upstream.Event, error) {
	if s.ended {
		return upstream.Event{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	defer stop()
	for {
		e, err := s.readEvent()
		if err != nil {
			s.timer.stop()
			return upstream.Event{}, err
		}
		if e.Index < s.next && !e.Last {
			continue // repeated by the upstream
		}
		return s.checkOrder(e)
	}
}

// checkOrder checks the index of an event, and the count if it is the last.
func (s *eventStream) checkOrder(e upstream.Event) (upstream.Event, error) {
	if e.Index != s.next {
		return upstream.Event{}, malformed("event has index %d, expected %d", e.Index, s.next)
	}
	if len(e.Data) > 0 {
		s.next++
	}
	if !e.Last {
		return e, nil
	}
	if e.Count != s.next {
		return upstream.Event{}, malformed("last event has count %d, expected %d", e.Count, s.next)
	}
	s.ended = true
	s.timer.stop()
	return e, nil
}

// readEvent returns the next event on the wire; it skips lines that are not data.
func (s *eventStream) readEvent() (upstream.Event, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if s.count++; s.count > maxEvents {
			return upstream.Event{}, malformed("more than %d events", maxEvents)
		}
		var e upstream.Event
		if err := json.Unmarshal(data, &e); err != nil {
			return upstream.Event{}, malformed("%w", err)
		}
		return e, s.checkID(e)
	}
	return upstream.Event{}, s.endError()
}

// endError returns the error for an answer that has ended before its last event.
func (s *eventStream) endError() error {
	err := s.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return malformed("event longer than %d bytes", maxEventBytes)
	case s.limit.N <= 0:
		return malformed("longer than %d bytes", maxStreamBytes)
	case err != nil:
		return s.readError(err)
	default:
		return &upstream.Error{Op: "call", Cause: io.ErrUnexpectedEOF}
	}
}
