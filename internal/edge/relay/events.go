package relay

import (
	"bytes"
	"errors"
	"strings"
)

// maxWithoutID bounds the bytes of a stream between two events with an ID; a sick upstream may send others without end.
const maxWithoutID = 256 << 10

// ErrNoEvents says that a stream goes on without events that have an ID.
var ErrNoEvents = errors.New("the stream goes on without events")

// EventSplitter cuts a stream of events into whole ones and remembers the last ID.
type EventSplitter struct {
	rest   []byte
	lastID string
	count  int
	since  int // bytes since the last event with an ID
}

// Add takes bytes and returns those that complete events; the error is ErrNoEvents when there were too many without one.
func (e *EventSplitter) Add(p []byte) ([]byte, error) {
	if e.since += len(p); e.since > maxWithoutID {
		return nil, ErrNoEvents
	}
	e.rest = append(e.rest, p...)
	end := 0
	for {
		size := eventEnd(e.rest[end:])
		if size == 0 {
			break
		}
		e.note(e.rest[end : end+size])
		end += size
	}
	if end == 0 {
		return nil, nil
	}
	whole := append([]byte(nil), e.rest[:end]...)
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return whole, nil
}

// Rest returns the bytes after the last whole event, and forgets them.
func (e *EventSplitter) Rest() []byte {
	rest := e.rest
	e.rest = nil
	return rest
}

// LastID is the ID of the last whole event; empty before there is one.
func (e *EventSplitter) LastID() string { return e.lastID }

// Count is the number of whole events.
func (e *EventSplitter) Count() int { return e.count }

// eventEnd returns the length of the first event with its blank line; 0 if it is not whole.
func eventEnd(p []byte) int {
	lf := bytes.Index(p, []byte("\n\n"))
	crlf := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	case lf >= 0:
		return lf + len("\n\n")
	}
	return 0
}

func (e *EventSplitter) note(event []byte) {
	for line := range strings.Lines(string(event)) {
		name, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		if ok && name == "id" {
			e.lastID = strings.TrimPrefix(value, " ")
			e.count++
			e.since = 0
		}
	}
}
