package relay

import (
	"bytes"
	"errors"
	"strings"
)

// maxBytesWithoutID bounds the bytes between two events with an ID; a faulty upstream may send others without end.
const maxBytesWithoutID = 256 << 10

// ErrNoEvents means that a stream sent too many bytes without an event that has an ID.
var ErrNoEvents = errors.New("the stream goes on too long without events that have an ID")

// EventSplitter splits a stream of server-sent events into whole ones and remembers the last ID.
type EventSplitter struct {
	partial      []byte // start of an event whose end has not been read
	lastID       string
	count        int // IDs in the whole events
	bytesSinceID int // added since the last ID was found
}

// Add adds bytes and returns the events that they complete; the error is ErrNoEvents after too many bytes without an
// ID.
func (e *EventSplitter) Add(p []byte) ([]byte, error) {
	if e.bytesSinceID += len(p); e.bytesSinceID > maxBytesWithoutID {
		return nil, ErrNoEvents
	}
	e.partial = append(e.partial, p...)
	end := 0
	for {
		size := eventEnd(e.partial[end:])
		if size == 0 {
			break
		}
		e.recordID(e.partial[end : end+size])
		end += size
	}
	if end == 0 {
		return nil, nil
	}
	whole := append([]byte(nil), e.partial[:end]...)
	e.partial = append(e.partial[:0], e.partial[end:]...)
	return whole, nil
}

// Rest returns the bytes after the last whole event, and drops them.
func (e *EventSplitter) Rest() []byte {
	rest := e.partial
	e.partial = nil
	return rest
}

// InsideEvent reports whether an event has begun that is not whole.
func (e *EventSplitter) InsideEvent() bool { return len(bytes.TrimSpace(e.partial)) > 0 }

// LastID is the last ID of a whole event; empty if there was none.
func (e *EventSplitter) LastID() string { return e.lastID }

// Count is the number of IDs in the whole events.
func (e *EventSplitter) Count() int { return e.count }

// eventEnd returns the length of the first event, including its blank line; 0 if it is not whole.
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

// recordID records the IDs of a whole event.
func (e *EventSplitter) recordID(event []byte) {
	for line := range strings.Lines(string(event)) {
		name, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		if ok && name == "id" {
			e.lastID = strings.TrimPrefix(value, " ")
			e.count++
			e.bytesSinceID = 0
		}
	}
}
