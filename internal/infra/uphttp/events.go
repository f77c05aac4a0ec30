package uphttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
)

var dataPrefix = []byte("data:")

// events is an answer that comes as server-sent events.
type events struct {
	*body
	lines  *bufio.Scanner
	next   uint64 // index that the next event must have
	events int
	limit  *io.LimitedReader
}

func newEvents(b *body) *events {
	limit := &io.LimitedReader{R: &progressReader{from: b.resp.Body, watch: b.watch}, N: maxStream}
	lines := bufio.NewScanner(limit)
	lines.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return &events{body: b, lines: lines, next: uint64(len(b.call.Held)), limit: limit}
}

// Next returns the next event, each index once and in order; after the last one it returns io.EOF.
func (s *events) Next(ctx context.Context) (upstr.Event, error) {
	if s.ended {
		return upstr.Event{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
	defer stop()
	for {
		e, err := s.read()
		if err != nil {
			s.watch.stop()
			return upstr.Event{}, err
		}
		if e.Index < s.next && !e.Last {
			continue // the upstream repeats itself
		}
		return s.accept(e)
	}
}

func (s *events) accept(e upstr.Event) (upstr.Event, error) {
	if e.Index != s.next {
		return upstr.Event{}, malformed("event %d where %d is due", e.Index, s.next)
	}
	if len(e.Data) > 0 {
		s.next++
	}
	if !e.Last {
		return e, nil
	}
	if e.Count != s.next {
		return upstr.Event{}, malformed("last event counts %d of %d", e.Count, s.next)
	}
	s.ended = true
	s.watch.stop()
	return e, nil
}

// read returns the next event on the wire; it skips what is not data.
func (s *events) read() (upstr.Event, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if s.events++; s.events > maxEvents {
			return upstr.Event{}, malformed("more than %d events", maxEvents)
		}
		var e upstr.Event
		if err := json.Unmarshal(data, &e); err != nil {
			return upstr.Event{}, malformed("%w", err)
		}
		return e, s.check(e)
	}
	return upstr.Event{}, s.end()
}

func (s *events) end() error {
	err := s.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return malformed("event longer than %d bytes", maxEvent)
	case s.limit.N <= 0:
		return malformed("longer than %d bytes", maxStream)
	case err != nil:
		return s.broken(err)
	default:
		return &upstr.Error{Op: "call", Cause: io.ErrUnexpectedEOF}
	}
}
